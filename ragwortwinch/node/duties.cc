#include "ragwortwinch/node/duties.h"

#include "ragwortwinch/base/digest.h"
#include "ragwortwinch/base/log_event.h"

namespace ragwortwinch {

namespace {

// The only shard: it covers the usage of all nodes.
constexpr const char* usageShard = "0";

} // namespace

Duties::Duties(const Settings& settings, const std::string& incarnation, asio::io_context& context,
    StoreRunner& runner, OpIds& ids, EndpointTable& endpoints)
    : settings_(settings)
    , incarnation_(incarnation)
    , context_(context)
    , runner_(runner)
    , ids_(ids)
    , endpoints_(endpoints)
    , usageLease_(std::string("usage/") + usageShard, settings.node, incarnation, ids, leaseOptions())
    , closer_(usageShard, ids, {settings.usageWindow, /*grace=*/Millis(2000), /*retryInterval=*/Millis(500)})
    , sender_(settings.sendBound)
{
}

LeaseOptions Duties::leaseOptions() const
{
    return {settings_.leaseTtl, settings_.clockMargin, settings_.sendBound, /*retryInterval=*/Millis(500)};
}

void Duties::setZones(const std::set<std::string>& zones)
{
    // A zone that has lost its endpoints keeps its duty, since orders may be unfinished.
    for (const std::string& zone : zones) {
        if (zones_.contains(zone))
            continue;
        zones_[zone] = std::make_unique<ZoneDuty>(
            ZoneDuty{LeaseKeeper("fleet/" + zone, settings_.node, incarnation_, ids_, leaseOptions()),
                OrderJournal(zone, settings_.node + "." + incarnation_, ids_, settings_.sendBound)});
    }
}

bool Duties::isPreferredDutyHolder(
    const std::string& duty, const std::string& self, const std::set<std::string>& candidates)
{
    std::string best = self;
    std::string bestHash = sha256Hex(duty + "/" + self);
    for (const std::string& candidate : candidates) {
        std::string hash = sha256Hex(duty + "/" + candidate);
        if (hash > bestHash) {
            best = candidate;
            bestHash = std::move(hash);
        }
    }
    return best == self;
}

Authority Duties::authorityOf(const LeaseKeeper& lease, Instant now) const
{
    if (!lease.isHeld(now))
        return {};
    return {lease.epoch(), lease.isQuietPeriodOver(now)};
}

void Duties::tickLease(
    LeaseKeeper& lease, Instant now, const std::set<std::string>& candidates, bool isSettled)
{
    if (isReleasing_ && isSettled && sender_.isIdle())
        lease.release();
    else
        lease.setWanted(!isReleasing_ && settings_.mayHoldDuties
            && isPreferredDutyHolder(lease.duty(), settings_.node, candidates));
    runner_.run(lease.tick(now),
        [&lease](Instant at, const StoreAnswer& answer) { return lease.onAnswer(at, answer); });
}

LeaseBoundRequest Duties::makeOrderRequest(
    const EndpointOrder& order, const std::string& zone, const LeaseKeeper& lease) const
{
    LeaseBoundRequest send;
    send.authorityEnd = lease.authorityEnd();
    send.headers.add("Content-Type", "application/json");
    send.headers.add("Idempotency-Key", zone + "/" + std::to_string(order.number));
    EndpointPointer endpoint = endpoints_.find(order.endpoint);
    if (order.isToPlatform())
        send.url = settings_.platformUrl + "/v1/orders";
    else if (endpoint)
        send.url = "http://" + endpoint->rule().address.text() + "/v1/orders";
    send.body = Json({{"endpoint", order.endpoint}, {"zone", zone}, {"kind", orderKindNames.name(order.kind)},
                         {"argument", order.argument}, {"number", order.number}, {"epoch", lease.epoch()},
                         {"sender", settings_.node}})
                    .dump();
    return send;
}

void Duties::sendOrders(const std::string& zone, ZoneDuty& duty, Instant now)
{
    auto checksFencing = [this](const std::string& name) {
        EndpointPointer endpoint = endpoints_.find(name);
        return endpoint && endpoint->rule().checksFencing;
    };
    for (const EndpointOrder& order :
        duty.journal.takeSends(now, authorityOf(duty.lease, now), checksFencing)) {
        LeaseBoundRequest send = makeOrderRequest(order, zone, duty.lease);
        if (send.url.empty()) {
            LogEvent("orders.no_endpoint", Severity::Warning)
                .with("zone", zone)
                .with("endpoint", order.endpoint);
            duty.journal.onSendResult(now, order.number, SendOutcome::Refused);
            continue;
        }
        sender_.post(std::move(send), [this, &duty, number = order.number](SendOutcome outcome) {
            asio::post(context_, [&duty, number, outcome] {
                duty.journal.onSendResult(SystemClock().now(), number, outcome);
            });
        });
    }
}

void Duties::tickUsage(Instant now, std::int64_t unixMillis, const std::set<std::string>& candidates)
{
    tickLease(usageLease_, now, candidates, true);
    Authority authority = authorityOf(usageLease_, now);
    runner_.run(closer_.tick(now, unixMillis, authority),
        [this](Instant at, const StoreAnswer& answer) { return closer_.onAnswer(at, answer); });
    std::optional<ClosedWindow> report = closer_.takeReport(now, authority);
    if (!report)
        return;
    LeaseBoundRequest send;
    send.url = settings_.platformUrl + "/v1/usage";
    send.authorityEnd = usageLease_.authorityEnd();
    send.headers.add("Content-Type", "application/json");
    send.headers.add("Idempotency-Key", std::string(usageShard) + "/" + std::to_string(report->window));
    send.body = report->reportBody(usageShard);
    sender_.post(std::move(send), [this, window = report->window](SendOutcome outcome) {
        asio::post(context_, [this, window, outcome] { closer_.onReportResult(window, outcome); });
    });
}

void Duties::tick(Instant now, std::int64_t unixMillis, const std::set<std::string>& candidates)
{
    for (auto& entry : zones_) {
        ZoneDuty& duty = *entry.second;
        tickLease(duty.lease, now, candidates, duty.journal.isSettled(now));
        runner_.run(duty.journal.tick(now, authorityOf(duty.lease, now)),
            [&duty](Instant at, const StoreAnswer& answer) { return duty.journal.onAnswer(at, answer); });
        sendOrders(entry.first, duty, now);
    }
    tickUsage(now, unixMillis, candidates);
}

OrderOutcome Duties::order(EndpointOrder order, const std::string& zone)
{
    auto found = zones_.find(zone);
    if (found == zones_.end())
        return {OrderOutcome::Kind::NoSuchEndpoint, {}};
    switch (found->second->journal.submit(std::move(order))) {
    case SubmitResult::Accepted:
        return {OrderOutcome::Kind::Accepted, settings_.node};
    case SubmitResult::Busy:
        return {OrderOutcome::Kind::Busy, settings_.node};
    case SubmitResult::NoAuthority:
        break;
    }
    return {OrderOutcome::Kind::WrongNode, found->second->lease.holder()};
}

void Duties::requestReleaseAll() { isReleasing_ = true; }

bool Duties::isReleased() const
{
    bool isUsageReleased = usageLease_.state() == LeaseState::Idle;
    for (const auto& entry : zones_) {
        if (entry.second->lease.state() != LeaseState::Idle)
            return false;
    }
    return isUsageReleased;
}

Json Duties::dump(Instant now) const
{
    Json list = Json::array();
    auto describe = [&](const LeaseKeeper& lease) {
        return Json({{"duty", lease.duty()}, {"state", leaseStateNames.name(lease.state())},
            {"epoch", lease.epoch()}, {"held", lease.isHeld(now)},
            {"quiet_period_over", lease.isQuietPeriodOver(now)}, {"holder", lease.holder()},
            {"authority_left_ms", lease.isHeld(now) ? (lease.authorityEnd() - now).count() : 0}});
    };
    for (const auto& entry : zones_) {
        Json duty = describe(entry.second->lease);
        Json orders = Json::array();
        for (const auto& order : entry.second->journal.orders())
            orders.push_back({{"endpoint", order.first}, {"kind", orderKindNames.name(order.second.kind)},
                {"argument", order.second.argument}, {"number", order.second.number},
                {"done", order.second.isDone}});
        duty["orders"] = std::move(orders);
        list.push_back(std::move(duty));
    }
    Json usage = describe(usageLease_);
    usage["reported_through"] = closer_.reportedThrough();
    list.push_back(std::move(usage));
    return list;
}

} // namespace ragwortwinch
