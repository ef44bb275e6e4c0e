// A node's view of one endpoint: its configuration, its last report, and the work in flight from this node
// and its peers.
//
// Thread-safe: request threads read and reserve, the control thread stores reports.
#pragma once

#include "ragwortwinch/base/time.h"
#include "ragwortwinch/config/rules.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace ragwortwinch {

// The load that an endpoint last reported; it lags behind the actual load.
struct EndpointReport {
    // Number of running requests.
    std::int64_t running = 0;
    std::int64_t kvBlocksUsed = 0;
    std::int64_t kvBlocksTotal = 0;
    std::int64_t queuedPrefillTokens = 0;
    bool isLeaving = false;
    // As reported; not limited to the values of EngineRole.
    std::string role;
    std::uint64_t incarnation = 0;
};

class EndpointState {
public:
    explicit EndpointState(EndpointRule rule)
        : rule_(std::move(rule))
    {
    }

    const EndpointRule& rule() const { return rule_; }
    const std::string& name() const { return rule_.name; }
    bool isEngine() const { return rule_.kind == EndpointKind::Engine; }

    void setReport(Instant now, const EndpointReport& report);
    // Marks an incarnation as leaving, as reported by the platform or a peer. Holds until a newer incarnation
    // reports.
    void setLeaving(std::uint64_t incarnation);
    std::uint64_t incarnation() const { return incarnation_.load(); }
    // Sets the total load that all peers put on the endpoint.
    void setPeerLoad(std::int64_t running, std::int64_t kvBlocks);
    void onAttemptFailed(Instant now);
    void onAttemptSucceeded() { consecutiveFailures_.store(0); }

    // Whether it may receive new work: its report is at most `maxReportAge` old, it is not leaving, and it is
    // not ejected after repeated failures.
    bool isUsable(Instant now, Millis maxReportAge) const;
    bool isLeaving() const { return isLeaving_.load(); }
    Millis reportAge(Instant now) const { return now - Instant(Millis(reportedAtMillis_.load())); }

    // Estimated load: the work of this node and its peers, or the last report if that is greater.
    std::int64_t running() const;
    std::int64_t kvBlocksUsed() const;
    // The reported capacity, or `fallback` if none was reported.
    std::int64_t kvBlocksTotal(std::int64_t fallback) const;
    // The load that this node puts on the endpoint.
    std::int64_t ownRunning() const { return ownRunning_.load(); }
    std::int64_t ownKvBlocks() const { return ownKvBlocks_.load(); }
    // Tokens waiting for prefill in the last report, plus those that this node has dispatched since.
    std::int64_t queuedPrefillTokens() const
    {
        return queuedPrefillTokens_.load() + dispatchedPrefillTokens_.load();
    }
    void addDispatchedPrefill(std::int64_t tokens) { dispatchedPrefillTokens_.fetch_add(tokens); }

    void reserve(std::int64_t kvBlocks);
    void unreserve(std::int64_t kvBlocks);

private:
    EndpointRule rule_;
    std::atomic<std::int64_t> ownRunning_{0};
    std::atomic<std::int64_t> ownKvBlocks_{0};
    std::atomic<std::int64_t> peerRunning_{0};
    std::atomic<std::int64_t> peerKvBlocks_{0};
    std::atomic<std::int64_t> reportedRunning_{0};
    std::atomic<std::int64_t> reportedKvBlocks_{0};
    std::atomic<std::int64_t> reportedKvBlocksTotal_{0};
    std::atomic<std::int64_t> dispatchedPrefillTokens_{0};
    std::atomic<std::int64_t> queuedPrefillTokens_{0};
    // Before the first report: long ago, but not so long that `reportAge` overflows.
    std::atomic<std::int64_t> reportedAtMillis_{INT64_MIN / 2};
    std::atomic<std::uint64_t> incarnation_{0};
    std::atomic<bool> isLeaving_{false};
    std::atomic<int> consecutiveFailures_{0};
    std::atomic<std::int64_t> ejectedUntilMillis_{0};
};

using EndpointPointer = std::shared_ptr<EndpointState>;

// The capacity that one request occupies at an endpoint; released on destruction.
class Reservation {
public:
    Reservation() = default;
    Reservation(EndpointPointer endpoint, std::int64_t kvBlocks);
    ~Reservation();
    Reservation(Reservation&&) noexcept;
    Reservation& operator=(Reservation&&) noexcept;

    const EndpointPointer& endpoint() const { return endpoint_; }
    explicit operator bool() const { return endpoint_ != nullptr; }
    void release();

private:
    EndpointPointer endpoint_;
    std::int64_t kvBlocks_ = 0;
};

} // namespace ragwortwinch
