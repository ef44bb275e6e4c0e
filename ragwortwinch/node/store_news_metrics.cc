#include "ragwortwinch/node/store_news_metrics.h"

#include "ragwortwinch/store/watch_interval.h"

#include <string>

namespace ragwortwinch {

namespace {

prometheus::Counter& counter(prometheus::Registry& registry, const std::string& name, const std::string& help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

StoreNewsMetrics::StoreNewsMetrics(prometheus::Registry& registry)
    : watches_(counter(registry, "ragwortwinch_store_watches_total", "Watches of the store"))
    , sent_(counter(registry, "ragwortwinch_store_news_sent_total",
          "Changes read from the store and sent to a VM of the zone, counted for each VM"))
    , sentFrames_(counter(registry, "ragwortwinch_store_news_sent_frames_total",
          "Messages with changes from the store that were sent to VMs of the zone"))
    , sentBytes_(counter(registry, "ragwortwinch_store_news_sent_bytes_total",
          "Bytes of messages with changes from the store that were sent to VMs of the zone"))
    , received_(counter(registry, "ragwortwinch_store_news_received_total",
          "Changes from the store that VMs of the zone have sent"))
    , firstHeard_(counter(registry, "ragwortwinch_store_news_first_heard_total",
          "Changes from the store that a VM of the zone told before the own watch did"))
    , interval_(prometheus::BuildGauge()
                    .Name("ragwortwinch_store_watch_interval_milliseconds")
                    .Help("Shortest time between two watches, without its random part")
                    .Register(registry)
                    .Add({}))
{
    setWatchInterval(WatchInterval::shortest);
}

void StoreNewsMetrics::onSent(std::size_t changes, std::size_t frames, std::size_t bytes)
{
    sent_.Increment(static_cast<double>(changes));
    sentFrames_.Increment(static_cast<double>(frames));
    sentBytes_.Increment(static_cast<double>(bytes));
}

void StoreNewsMetrics::onReceived(std::size_t changes, std::size_t firstHeard)
{
    received_.Increment(static_cast<double>(changes));
    firstHeard_.Increment(static_cast<double>(firstHeard));
}

} // namespace ragwortwinch
