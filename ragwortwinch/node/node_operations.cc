// What operators ask of a node: the configuration in force, a change of it, an order to an endpoint.
#include "ragwortwinch/node/node.h"

namespace ragwortwinch {

namespace {

ApplyOutcome toApplyOutcome(const ConfigPublisher& publisher)
{
    switch (publisher.state()) {
    case PublishState::Accepted:
        return {ApplyOutcome::Kind::Accepted, publisher.versionInForce()};
    case PublishState::Conflict:
        return {ApplyOutcome::Kind::Conflict, publisher.versionInForce()};
    case PublishState::NotAccepted:
        return {ApplyOutcome::Kind::NotAccepted, 0};
    case PublishState::Running:
    case PublishState::Unknown:
        break;
    }
    return {ApplyOutcome::Kind::Unknown, 0};
}

} // namespace

void Node::currentConfig(std::function<void(std::uint64_t, const std::string&)> onDone)
{
    asio::post(
        context_, [this, onDone = std::move(onDone)] { onDone(config_.version(), config_.current().text); });
}

void Node::applyConfig(std::string text, std::uint64_t expectedVersion, std::string changeId,
    std::function<void(ApplyOutcome)> onDone)
{
    asio::post(context_,
        [this, text = std::move(text), expectedVersion, changeId = std::move(changeId),
            onDone = std::move(onDone)]() mutable {
            auto publisher = std::make_shared<ConfigPublisher>(
                std::move(text), expectedVersion, std::move(changeId), opIds_);
            config_.onPublishStarted();
            runner_.run(publisher->start(),
                [this, publisher, onDone = std::move(onDone)](Instant now, const StoreAnswer& answer) {
                    StoreOps next = publisher->onAnswer(now, answer);
                    if (publisher->state() != PublishState::Running) {
                        config_.onPublishEnded(
                            now, publisher->state() != PublishState::Unknown, publisher->versionInForce());
                        onDone(toApplyOutcome(*publisher));
                    }
                    return next;
                });
        });
}

void Node::order(EndpointOrder order, std::function<void(OrderOutcome)> onDone)
{
    asio::post(context_, [this, order = std::move(order), onDone = std::move(onDone)]() mutable {
        EndpointPointer endpoint = endpoints_.find(order.endpoint);
        if (!endpoint) {
            onDone({OrderOutcome::Kind::NoSuchEndpoint, {}});
            return;
        }
        std::string zone = endpoint->rule().availabilityZone;
        onDone(duties_->order(std::move(order), zone));
    });
}

} // namespace ragwortwinch
