// `ragwortwinch check` for the configuration of a gateway. The checks are those of the daemon
// (platform/config_inspection.h).
#pragma once

#include "ragwortwinch/ctl/check_report.h"

#include <ostream>
#include <string>
#include <string_view>

namespace ragwortwinch {

struct ConfigCheckOptions {
    std::string file;
    // The content of `file`.
    std::string text;
    // A file, `in-force` or empty.
    std::string against;
    // Operators' port of a VM, for `in-force`.
    std::string admin;
    ReportFormat format = ReportFormat::Text;
};

// Whether `text` is a gateway's configuration and not a rules file.
bool isGatewayConfig(std::string_view text);

// Writes the report to `out` and returns the exit code: `exitOk`, `exitFailed` if there are findings, or
// `exitInvalid` if what to compare with can't be read. Differences are no findings.
int runConfigCheck(const ConfigCheckOptions& options, std::ostream& out);

} // namespace ragwortwinch
