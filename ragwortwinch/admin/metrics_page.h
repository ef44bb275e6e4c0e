// Renders the node's metrics in the Prometheus text format.
//
//     MetricsPage page("cnx-1");
//     std::string text = page.render(values);
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace ragwortwinch {

// A snapshot of all metrics. Names omit the `ragwortwinch_` prefix, those of counters also the `_total`
// suffix.
struct MetricValues {
    std::map<std::string, double> counters;
    std::map<std::string, double> gauges;
    // Number of running requests by endpoint.
    std::map<std::string, double> endpointRunning;
};

// Thread-safe.
class MetricsPage {
public:
    explicit MetricsPage(std::string node)
        : node_(std::move(node))
    {
    }
    std::string render(const MetricValues& values) const;

private:
    std::string node_;
};

} // namespace ragwortwinch
