#include "ragwortwinch/node/gateway_duties.h"

#include "platform/duty_calls.h"
#include "platform/engine_calls.h"
#include "ragwortwinch/base/rendezvous_rank.h"

namespace ragwortwinch {

namespace {

// The only shard: it covers the usage of all VMs.
constexpr const char* usageShard = "0";
constexpr const char* dutyName = "control";
constexpr Millis retryInterval{500};
constexpr Millis planInterval{250};

LeaseOptions leaseOptions(const GatewaySettings& settings)
{
    return {settings.leaseTtl, settings.clockMargin, settings.sendBound, retryInterval,
        /*skipsQuietPeriodAfterRelease=*/false};
}

} // namespace

bool isPreferredDutyHolder(
    const std::string& duty, const std::string& self, const std::set<std::string>& candidates)
{
    return rendezvousRank(duty, self, candidates) == 0;
}

GatewayDuties::GatewayDuties(const GatewaySettings& settings, const std::string& incarnation,
    asio::io_context& context, StoreRunner& runner, OpIds& ids, HttpClient& client)
    : settings_(settings)
    , context_(context)
    , runner_(runner)
    , lease_(dutyName, settings.node, incarnation, ids, leaseOptions(settings))
    , closer_(usageShard, ids,
          {settings.usageWindow, settings.usageGrace, retryInterval, /*acceptsDirectTotals=*/true,
              leaseOptions(settings).quietPeriod()})
    , client_(client)
    , sender_(settings.sendBound)
{
}

Authority GatewayDuties::authority(Instant now) const
{
    if (!lease_.isHeld(now))
        return {};
    return {lease_.epoch(), lease_.isQuietPeriodOver(now)};
}

void GatewayDuties::tickLease(Instant now, const std::set<std::string>& candidates)
{
    if (isReleasing_ && sender_.isIdle())
        lease_.release();
    else
        lease_.setWanted(!isReleasing_ && isPreferredDutyHolder(dutyName, settings_.node, candidates));
    runner_.run(lease_.tick(now),
        [this](Instant at, const StoreAnswer& answer) { return lease_.onAnswer(at, answer); });
}

void GatewayDuties::onStoreEra(Instant now, std::uint64_t era, std::int64_t unixMillis)
{
    std::optional<AuthoritySpan> span;
    if (lease_.isHeld(now))
        span = AuthoritySpan{lease_.acquiredAt(), lease_.confirmedAt()};
    closer_.onStoreEra(now, era, unixMillis, span);
    lease_.onStoreRestored(now);
}

void GatewayDuties::reportUsage(Instant now, std::int64_t unixMillis)
{
    Authority held = authority(now);
    runner_.run(closer_.tick(now, unixMillis, held),
        [this](Instant at, const StoreAnswer& answer) { return closer_.onAnswer(at, answer); });
    if (!sender_.isIdle())
        return;
    std::optional<ClosedWindow> report = closer_.takeReport(now, held);
    if (!report)
        return;
    LeaseBoundRequest send = platform::usageReport(
        settings_.dutyUrl, {settings_.node, lease_.epoch()}, report->window, report->figures);
    send.authorityEnd = lease_.authorityEnd();
    sender_.post(std::move(send), [this, window = report->window](SendOutcome outcome) {
        asio::post(context_, [this, window, outcome] { closer_.onReportResult(window, outcome); });
    });
}

void GatewayDuties::tick(Instant now, std::int64_t unixMillis, const std::set<std::string>& candidates)
{
    tickLease(now, candidates);
    reportUsage(now, unixMillis);
    planFleet(now);
}

void GatewayDuties::planFleet(Instant now)
{
    Authority held = authority(now);
    if (held.epoch == 0 || !held.isQuietPeriodOver || isReleasing_ || now < nextPlan_)
        return;
    nextPlan_ = now + planInterval;
    if (held.epoch != plannedEpoch_) {
        plannedEpoch_ = held.epoch;
        countPlanner_.reset();
        rolePlanner_.reset();
    }
    for (const EndpointCountOrder& order : countPlanner_.tick(now, services_, records_))
        sendCountOrder(order);
    for (const RoleOrder& order : rolePlanner_.tick(now, records_))
        startRoleOrder(order);
}

void GatewayDuties::sendCountOrder(const EndpointCountOrder& order)
{
    LeaseBoundRequest send = platform::endpointCountOrder(settings_.dutyUrl, {settings_.node, lease_.epoch()},
        order.service, order.availabilityZone, order.count, order.isReclaimable);
    send.authorityEnd = lease_.authorityEnd();
    sender_.post(std::move(send), [this, order](SendOutcome outcome) {
        asio::post(context_,
            [this, order, outcome] { countPlanner_.onResult(SystemClock().now(), order, outcome); });
    });
}

void GatewayDuties::startRoleOrder(const RoleOrder& order)
{
    client_.start(platform::engineReportCall(order.engine, settings_.sendBound),
        [this, order](const HttpCallResult& result) {
            std::optional<platform::EngineReport> report
                = result.isOk() ? platform::decodeEngineReport(result.body) : std::nullopt;
            asio::post(context_, [this, order, report] {
                bool isPossible = report && !report->isBusy && report->role != order.role;
                if (isPossible)
                    sendRoleOrder(order, report->ordersAccepted);
            });
        });
}

void GatewayDuties::sendRoleOrder(const RoleOrder& order, std::int64_t expectedOrders)
{
    Instant now = SystemClock().now();
    Authority held = authority(now);
    if (held.epoch == 0 || !held.isQuietPeriodOver || isReleasing_)
        return;
    LeaseBoundRequest send
        = platform::roleOrder(order.engine, {settings_.node, held.epoch}, order.role, expectedOrders);
    send.authorityEnd = lease_.authorityEnd();
    sender_.post(std::move(send), [this, order](SendOutcome outcome) {
        asio::post(
            context_, [this, order, outcome] { rolePlanner_.onResult(SystemClock().now(), order, outcome); });
    });
}

Json GatewayDuties::dump(Instant now) const
{
    return {{"duty", lease_.duty()}, {"state", leaseStateNames.name(lease_.state())},
        {"epoch", lease_.epoch()}, {"held", lease_.isHeld(now)},
        {"quiet_period_over", lease_.isQuietPeriodOver(now)}, {"holder", lease_.holder()},
        {"reported_through", closer_.reportedThrough()}};
}

} // namespace ragwortwinch
