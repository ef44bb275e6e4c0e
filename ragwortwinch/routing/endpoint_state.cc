#include "ragwortwinch/routing/endpoint_state.h"

#include "ragwortwinch/base/invariant.h"
#include "ragwortwinch/base/mechanism.h"

#include <algorithm>
#include <utility>

namespace ragwortwinch {

namespace {

constexpr int failuresBeforeEjection = 3;
constexpr Millis ejectionDuration{1000};

} // namespace

void EndpointState::setReport(Instant now, const EndpointReport& report)
{
    reportedRunning_.store(report.running);
    reportedKvBlocks_.store(report.kvBlocksUsed);
    reportedKvBlocksTotal_.store(report.kvBlocksTotal);
    queuedPrefillTokens_.store(report.queuedPrefillTokens);
    dispatchedPrefillTokens_.store(0);
    std::uint64_t previousIncarnation = incarnation_.exchange(report.incarnation);
    if (report.isLeaving)
        isLeaving_.store(true);
    else if (report.incarnation > previousIncarnation || !isEnabled(Mechanism::StickyLeaving))
        isLeaving_.store(false);
    reportedAtMillis_.store(now.time_since_epoch().count());
}

void EndpointState::setLeaving(std::uint64_t incarnation)
{
    if (incarnation >= incarnation_.load())
        isLeaving_.store(true);
}

void EndpointState::setPeerLoad(std::int64_t running, std::int64_t kvBlocks)
{
    peerRunning_.store(running);
    peerKvBlocks_.store(kvBlocks);
}

void EndpointState::onAttemptFailed(Instant now)
{
    if (consecutiveFailures_.fetch_add(1) + 1 >= failuresBeforeEjection) {
        ejectedUntilMillis_.store((now + ejectionDuration).time_since_epoch().count());
        consecutiveFailures_.store(0);
    }
}

bool EndpointState::isUsable(Instant now, Millis maxReportAge) const
{
    return !isLeaving_.load() && reportAge(now) <= maxReportAge
        && now.time_since_epoch().count() >= ejectedUntilMillis_.load();
}

std::int64_t EndpointState::running() const
{
    return std::max(ownRunning_.load() + peerRunning_.load(), reportedRunning_.load());
}

std::int64_t EndpointState::kvBlocksUsed() const
{
    return std::max(ownKvBlocks_.load() + peerKvBlocks_.load(), reportedKvBlocks_.load());
}

std::int64_t EndpointState::kvBlocksTotal(std::int64_t fallback) const
{
    std::int64_t total = reportedKvBlocksTotal_.load();
    return total > 0 ? total : fallback;
}

void EndpointState::reserve(std::int64_t kvBlocks)
{
    ownRunning_.fetch_add(1);
    ownKvBlocks_.fetch_add(kvBlocks);
}

void EndpointState::unreserve(std::int64_t kvBlocks)
{
    std::int64_t running = ownRunning_.fetch_sub(1);
    std::int64_t reservedKvBlocks = ownKvBlocks_.fetch_sub(kvBlocks);
    checkInvariant(running >= 1 && reservedKvBlocks >= kvBlocks, "routing.reservations_balance");
}

Reservation::Reservation(EndpointPointer endpoint, std::int64_t kvBlocks)
    : endpoint_(std::move(endpoint))
    , kvBlocks_(kvBlocks)
{
    endpoint_->reserve(kvBlocks_);
}

Reservation::~Reservation() { release(); }

Reservation::Reservation(Reservation&& other) noexcept
    : endpoint_(std::exchange(other.endpoint_, nullptr))
    , kvBlocks_(other.kvBlocks_)
{
}

Reservation& Reservation::operator=(Reservation&& other) noexcept
{
    if (this != &other) {
        release();
        endpoint_ = std::exchange(other.endpoint_, nullptr);
        kvBlocks_ = other.kvBlocks_;
    }
    return *this;
}

void Reservation::release()
{
    if (EndpointPointer endpoint = std::exchange(endpoint_, nullptr))
        endpoint->unreserve(kvBlocks_);
}

} // namespace ragwortwinch
