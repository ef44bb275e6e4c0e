// What one node knows of one endpoint: its rule, its last report, the work in flight from here and from
// peers.
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

// An endpoint's own load report; it lags.
struct EndpointReport {
    std::int64_t running = 0;
    std::int64_t kvBlocksUsed = 0;
    std::int64_t kvBlocksTotal = 0;
    std::int64_t queuedPrefillTokens = 0;
    bool isLeaving = false;
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
    // The platform or a peer says that this incarnation leaves. Holds until a report of a newer one.
    void setLeaving(std::uint64_t incarnation);
    std::uint64_t incarnation() const { return incarnation_.load(); }
    void setPeerLoad(std::int64_t running, std::int64_t kvBlocks);
    void onAttemptFailed(Instant now);
    void onAttemptSucceeded() { failures_.store(0); }

    // Whether it may get new work: its report is younger than `stateBound`, it does not leave, and it has not
    // just failed several times.
    bool isUsable(Instant now, Millis stateBound) const;
    bool isLeaving() const { return isLeaving_.load(); }
    Millis reportAge(Instant now) const { return now - Instant(Millis(reportedAt_.load())); }

    // Estimates over this node, its peers and the last report.
    std::int64_t running() const;
    std::int64_t kvBlocksUsed() const;
    std::int64_t kvBlocksTotal(std::int64_t fallback) const;
    std::int64_t ownRunning() const { return ownRunning_.load(); }
    std::int64_t ownKvBlocks() const { return ownPieces_.load(); }
    // Tokens that wait for prefill by the last report, and those dispatched from here since.
    std::int64_t queuedPrefillTokens() const { return queuedPrefill_.load() + dispatchedPrefill_.load(); }
    void addDispatchedPrefill(std::int64_t tokens) { dispatchedPrefill_.fetch_add(tokens); }

    void reserve(std::int64_t kvBlocks);
    void unreserve(std::int64_t kvBlocks);

private:
    EndpointRule rule_;
    std::atomic<std::int64_t> ownRunning_{0};
    std::atomic<std::int64_t> ownPieces_{0};
    std::atomic<std::int64_t> peerRunning_{0};
    std::atomic<std::int64_t> peerPieces_{0};
    std::atomic<std::int64_t> reportedRunning_{0};
    std::atomic<std::int64_t> reportedPieces_{0};
    std::atomic<std::int64_t> reportedTotal_{0};
    std::atomic<std::int64_t> dispatchedPrefill_{0};
    std::atomic<std::int64_t> queuedPrefill_{0};
    std::atomic<std::int64_t> reportedAt_{INT64_MIN / 2};
    std::atomic<std::uint64_t> incarnation_{0};
    std::atomic<bool> isLeaving_{false};
    std::atomic<int> failures_{0};
    std::atomic<std::int64_t> avoidUntil_{0};
};

using EndpointPointer = std::shared_ptr<EndpointState>;

// The room that one request takes at an endpoint; given back when destroyed.
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
    std::int64_t pieces_ = 0;
};

} // namespace ragwortwinch
