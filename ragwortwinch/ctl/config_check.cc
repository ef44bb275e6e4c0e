#include "ragwortwinch/ctl/config_check.h"

#include "platform/config_inspection.h"
#include "platform/config_names.h"
#include "ragwortwinch/config/settings.h"
#include "ragwortwinch/ctl/admin_client.h"
#include "ragwortwinch/ctl/commands.h"

#include <fmt/format.h>
#include <iostream>

namespace ragwortwinch {

namespace {

constexpr const char* inForce = "in-force";

Result<std::string> readReference(const ConfigCheckOptions& options)
{
    if (options.against != inForce)
        return readFile(options.against, ErrorKind::BadRules);
    BOOST_LEAF_AUTO(config, AdminClient(options.admin).get("/admin/v1/traffic"));
    return stringMember(config, "text");
}

Result<int> check(const ConfigCheckOptions& options, std::ostream& out)
{
    CheckReport report;
    report.file = options.file;
    report.against = options.against;
    platform::ConfigInspection inspection = platform::inspectConfig(options.text);
    std::optional<std::uint64_t> versionInForce;
    if (!options.against.empty()) {
        BOOST_LEAF_AUTO(text, readReference(options));
        platform::ConfigInspection reference = platform::inspectConfig(text);
        if (!reference.traffic)
            return makeError(ErrorKind::BadRules,
                fmt::format(
                    "`{}` isn't a gateway's configuration that VMs accept, so nothing can be compared with "
                    "it; check it by itself",
                    options.against));
        if (inspection.traffic) {
            report.changes = describeChanges(*reference.traffic, *inspection.traffic);
            // An unchanged file need not be adopted.
            if (!report.changes->empty())
                versionInForce = reference.traffic->config.version;
        }
    }
    platform::addChecks(options.text, inspection, versionInForce);
    report.hasMore = inspection.hasMore;
    report.findings = std::move(inspection.findings);
    out << (options.format == ReportFormat::Json ? reportJson(report) : reportText(report));
    return report.findings.empty() ? exitOk : exitFailed;
}

} // namespace

bool isGatewayConfig(std::string_view text) { return platform::looksLikeConfig(text); }

int runConfigCheck(const ConfigCheckOptions& options, std::ostream& out)
{
    return handleErrors([&] { return check(options, out); },
        [](const Error& error) {
            std::cerr << errorKindNames.name(error.kind) << ": " << error.message << std::endl;
            return exitInvalid;
        });
}

} // namespace ragwortwinch
