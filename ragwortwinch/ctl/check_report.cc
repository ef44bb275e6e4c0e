#include "ragwortwinch/ctl/check_report.h"

#include "ragwortwinch/base/json.h"

#include <algorithm>
#include <fmt/format.h>

namespace ragwortwinch {

namespace {

std::size_t countOf(const CheckReport& report, FindingSeverity severity)
{
    return static_cast<std::size_t>(std::count_if(report.findings.begin(), report.findings.end(),
        [severity](const ConfigFinding& finding) { return finding.severity == severity; }));
}

} // namespace

std::string reportText(const CheckReport& report)
{
    std::string text;
    for (const ConfigFinding& finding : report.findings)
        text += fmt::format("{}:{}: {}: {}: {}; {} [{}]\n", report.file, finding.line,
            findingSeverityNames.name(finding.severity), finding.path.empty() ? "document" : finding.path,
            finding.message, finding.remedy, findingCodeNames.name(finding.code));
    if (report.changes) {
        for (const ConfigChange& change : *report.changes)
            text += fmt::format("change: {}\n", change.message);
    }
    text += fmt::format("errors={} warnings={}", countOf(report, FindingSeverity::Error),
        countOf(report, FindingSeverity::Warning));
    if (report.hasMore)
        text += " more=true";
    if (report.changes)
        text += fmt::format(" changes={} against={}", report.changes->size(), report.against);
    else if (!report.against.empty())
        text += fmt::format(" changes=unknown against={}", report.against);
    return text + '\n';
}

std::string reportJson(const CheckReport& report)
{
    Json findings = Json::array();
    for (const ConfigFinding& finding : report.findings)
        findings.push_back({{"severity", findingSeverityNames.name(finding.severity)},
            {"code", findingCodeNames.name(finding.code)}, {"path", finding.path}, {"line", finding.line},
            {"message", finding.message}, {"remedy", finding.remedy}});
    Json document{{"file", report.file}, {"errors", countOf(report, FindingSeverity::Error)},
        {"warnings", countOf(report, FindingSeverity::Warning)}, {"findings", std::move(findings)},
        {"more", report.hasMore}};
    if (!report.against.empty())
        document["against"] = report.against;
    if (report.changes) {
        Json changes = Json::array();
        for (const ConfigChange& change : *report.changes)
            changes.push_back({{"kind", changeKindNames.name(change.kind)}, {"entry", change.entry},
                {"message", change.message}});
        document["changes"] = std::move(changes);
    }
    return document.dump(2) + '\n';
}

} // namespace ragwortwinch
