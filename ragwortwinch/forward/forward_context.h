// What all requests of one VM share on the forwarding path. Belongs to the forwarding thread.
#pragma once

#include "ragwortwinch/base/snapshot.h"
#include "ragwortwinch/config/traffic_table.h"
#include "ragwortwinch/forward/channel_pool.h"
#include "ragwortwinch/forward/endpoint_chooser.h"
#include "ragwortwinch/forward/endpoint_directory.h"
#include "ragwortwinch/forward/forward_metrics.h"
#include "ragwortwinch/forward/forward_options.h"
#include "ragwortwinch/forward/hand_over_time.h"
#include "ragwortwinch/forward/repeat_budget.h"
#include "ragwortwinch/forward/request_codec.h"
#include "ragwortwinch/forward/request_log.h"
#include "ragwortwinch/usage/usage_counter.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace ragwortwinch {

struct DrainTimes {
    Instant takeUntil;
    Instant end;
};

using TrafficSnapshot = Snapshot<std::shared_ptr<const TrafficTable>>;

struct ForwardContext {
    boost::asio::io_context& io;
    const RequestCodec& codec;
    const Clock& clock;
    const ForwardOptions& options;
    TrafficSnapshot& traffic;
    UsageCounter& usage;
    // The time of day that the VMs agree on, for usage windows.
    std::function<std::int64_t()> trueUnixMillis;
    EndpointDirectory& endpoints;
    EndpointChooser& chooser;
    ForwardMetrics& metrics;
    RequestLog& log;
    ChannelPool pool{};
    // Of each service.
    std::map<std::string, RepeatBudget> budgets{};
    HandOverTime handOver{};
    std::uint64_t requestNumber = 0;
    // While this VM stops: until when it takes any request, and when it ends.
    std::optional<DrainTimes> drain{};

    RepeatBudget& budgetOf(const std::string& service)
    {
        return budgets.try_emplace(service, options.retryBudget).first->second;
    }
};

} // namespace ragwortwinch
