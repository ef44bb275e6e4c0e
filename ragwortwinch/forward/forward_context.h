// State that all requests of one VM share on the forwarding path. Confined to the forwarding thread.
#pragma once

#include "ragwortwinch/allowance/locked_team_allowance.h"
#include "ragwortwinch/base/snapshot.h"
#include "ragwortwinch/config/traffic_table.h"
#include "ragwortwinch/forward/channel_pool.h"
#include "ragwortwinch/forward/crash_detector.h"
#include "ragwortwinch/forward/endpoint_directory.h"
#include "ragwortwinch/forward/forward_metrics.h"
#include "ragwortwinch/forward/forward_options.h"
#include "ragwortwinch/forward/lag_monitor.h"
#include "ragwortwinch/forward/memory_account.h"
#include "ragwortwinch/forward/reply_buffer.h"
#include "ragwortwinch/forward/request_codec.h"
#include "ragwortwinch/forward/request_log.h"
#include "ragwortwinch/placement/endpoint_chooser.h"
#include "ragwortwinch/placement/kv_transfer_time.h"
#include "ragwortwinch/placement/slot_reserve.h"
#include "ragwortwinch/placement/windowed_retry_budget.h"
#include "ragwortwinch/usage/usage_counter.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace ragwortwinch {

struct DrainTimes {
    // Until then all requests are accepted; from then on, those with a deadline at or after `end` are
    // refused.
    Instant acceptAllUntil;
    // When this VM stops.
    Instant end;
};

// How often idle connections and the thread's lag are checked and the loads reported to the peers are
// refreshed.
inline constexpr Millis sweepInterval{100};

using TrafficSnapshot = Snapshot<std::shared_ptr<const TrafficTable>>;

struct ForwardContext {
    boost::asio::io_context& io;
    const RequestCodec& codec;
    const Clock& clock;
    const ForwardOptions& options;
    TrafficSnapshot& traffic;
    UsageCounter& usage;
    // The time of day agreed between the VMs, for usage windows.
    std::function<std::int64_t()> clusterUnixMillis;
    EndpointDirectory& endpoints;
    EndpointChooser& chooser;
    ForwardMetrics& metrics;
    RequestLog& log;
    LockedTeamAllowance& allowance;
    MemoryAccount& memory;
    ChannelPool pool{};
    // Of each service.
    RetryBudgetOptions retryBudget = options.retryBudget;
    // Slots that less urgent requests leave free.
    std::unique_ptr<SlotReserve> slotReserve = std::make_unique<DemandSlotReserve>();
    // By service.
    std::map<std::string, WindowedRetryBudget> retryBudgets{};
    KvTransferTime kvTransfer{};
    // How far the forwarding thread is behind; its timer is the sweep.
    LagMonitor lag{sweepInterval};
    ReplyMemory replyMemory{.limit = options.memory.replyBytes};
    CrashDetector crashes{io, clock, options.connectTimeout};
    // Endpoint searches so far; sets where the next one starts.
    std::uint64_t searchNumber = 0;
    // Set while this VM is stopping.
    std::optional<DrainTimes> drain{};

    WindowedRetryBudget& retryBudgetOf(const std::string& service)
    {
        return retryBudgets.try_emplace(service, retryBudget).first->second;
    }
};

} // namespace ragwortwinch
