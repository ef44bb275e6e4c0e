#include "ragwortwinch/routing/endpoint_state.h"

#include "ragwortwinch/base/invariant.h"
#include "ragwortwinch/base/mechanism.h"

#include <algorithm>
#include <utility>

namespace ragwortwinch {

namespace {

constexpr int failuresBeforeAvoiding = 3;
constexpr Millis avoidFor{1000};

} // namespace

void EndpointState::setReport(Instant now, const EndpointReport& report)
{
    reportedRunning_.store(report.running);
    reportedPieces_.store(report.kvBlocksUsed);
    reportedTotal_.store(report.kvBlocksTotal);
    queuedPrefill_.store(report.queuedPrefillTokens);
    dispatchedPrefill_.store(0);
    std::uint64_t known = incarnation_.exchange(report.incarnation);
    if (report.isLeaving)
        isLeaving_.store(true);
    else if (report.incarnation > known || !isEnabled(Mechanism::StickyLeaving))
        isLeaving_.store(false);
    reportedAt_.store(now.time_since_epoch().count());
}

void EndpointState::setLeaving(std::uint64_t incarnation)
{
    if (incarnation >= incarnation_.load())
        isLeaving_.store(true);
}

void EndpointState::setPeerLoad(std::int64_t running, std::int64_t kvBlocks)
{
    peerRunning_.store(running);
    peerPieces_.store(kvBlocks);
}

void EndpointState::onAttemptFailed(Instant now)
{
    if (failures_.fetch_add(1) + 1 >= failuresBeforeAvoiding) {
        avoidUntil_.store((now + avoidFor).time_since_epoch().count());
        failures_.store(0);
    }
}

bool EndpointState::isUsable(Instant now, Millis stateBound) const
{
    return !isLeaving_.load() && reportAge(now) <= stateBound
        && now.time_since_epoch().count() >= avoidUntil_.load();
}

std::int64_t EndpointState::running() const
{
    return std::max(ownRunning_.load() + peerRunning_.load(), reportedRunning_.load());
}

std::int64_t EndpointState::kvBlocksUsed() const
{
    return std::max(ownPieces_.load() + peerPieces_.load(), reportedPieces_.load());
}

std::int64_t EndpointState::kvBlocksTotal(std::int64_t fallback) const
{
    std::int64_t total = reportedTotal_.load();
    return total > 0 ? total : fallback;
}

void EndpointState::reserve(std::int64_t kvBlocks)
{
    ownRunning_.fetch_add(1);
    ownPieces_.fetch_add(kvBlocks);
}

void EndpointState::unreserve(std::int64_t kvBlocks)
{
    std::int64_t running = ownRunning_.fetch_sub(1);
    std::int64_t before = ownPieces_.fetch_sub(kvBlocks);
    checkInvariant(running >= 1 && before >= kvBlocks, "routing.reservations_balance");
}

Reservation::Reservation(EndpointPointer endpoint, std::int64_t kvBlocks)
    : endpoint_(std::move(endpoint))
    , pieces_(kvBlocks)
{
    endpoint_->reserve(pieces_);
}

Reservation::~Reservation() { release(); }

Reservation::Reservation(Reservation&& other) noexcept
    : endpoint_(std::exchange(other.endpoint_, nullptr))
    , pieces_(other.pieces_)
{
}

Reservation& Reservation::operator=(Reservation&& other) noexcept
{
    if (this != &other) {
        release();
        endpoint_ = std::exchange(other.endpoint_, nullptr);
        pieces_ = other.pieces_;
    }
    return *this;
}

void Reservation::release()
{
    if (EndpointPointer endpoint = std::exchange(endpoint_, nullptr))
        endpoint->unreserve(pieces_);
}

} // namespace ragwortwinch
