#include "ragwortwinch/admin/metrics_page.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <sstream>

namespace ragwortwinch {

std::string MetricsPage::render(const MetricValues& values) const
{
    // Requests update plain atomics; a temporary registry only formats this snapshot as text.
    prometheus::Registry registry;
    for (const auto& entry : values.counters)
        prometheus::BuildCounter()
            .Name("ragwortwinch_" + entry.first + "_total")
            .Register(registry)
            .Add({{"node", node_}})
            .Increment(entry.second);
    for (const auto& entry : values.gauges)
        prometheus::BuildGauge()
            .Name("ragwortwinch_" + entry.first)
            .Register(registry)
            .Add({{"node", node_}})
            .Set(entry.second);
    prometheus::Family<prometheus::Gauge>& running
        = prometheus::BuildGauge()
              .Name("ragwortwinch_endpoint_running")
              .Help("Requests running at an endpoint from this node")
              .Register(registry);
    for (const auto& entry : values.endpointRunning)
        running.Add({{"node", node_}, {"endpoint", entry.first}}).Set(entry.second);
    std::ostringstream text;
    prometheus::TextSerializer().Serialize(text, registry.Collect());
    return text.str();
}

} // namespace ragwortwinch
