#include "ragwortwinch/config/config_finding.h"

namespace ragwortwinch {

void addFinding(LogEvent& event, const ConfigFinding& finding)
{
    event.with("code", findingCodeNames.name(finding.code))
        .with("path", finding.path)
        .with("line", finding.line)
        .with("problem", finding.message)
        .with("remedy", finding.remedy);
}

} // namespace ragwortwinch
