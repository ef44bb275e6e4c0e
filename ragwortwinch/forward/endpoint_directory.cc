#include "ragwortwinch/forward/endpoint_directory.h"

#include "ragwortwinch/forward/endpoint_channel.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>

namespace ragwortwinch {

EndpointDirectory::~EndpointDirectory()
{
    // Breaks the reference cycle between an endpoint and its idle connections.
    for (const auto& [key, endpoint] : endpoints_)
        endpoint->idleChannels.clear();
}

void EndpointDirectory::update(
    const std::vector<EndpointRecord>& records, const std::map<std::string, std::string>& regions)
{
    std::map<Key, UpstreamPointer> next;
    byService_.clear();
    for (const EndpointRecord& record : records) {
        Key key(record.id, record.incarnation);
        auto known = endpoints_.find(key);
        bool isNew = known == endpoints_.end();
        UpstreamPointer endpoint = isNew ? makeEndpoint(key) : known->second;
        bool hasNewAddress = isNew || endpoint->record.address != record.address;
        if (hasNewAddress) {
            endpoint->isMisdirected = false;
            boost::system::error_code ignored;
            endpoint->socketAddress
                = {boost::asio::ip::make_address(record.address.host, ignored), record.address.port};
        }
        bool hasNewRole = isNew || endpoint->record.role != record.role;
        if (hasNewRole)
            endpoint->engineLoad.restart(
                record.role == EngineRole::Decode ? EngineLoad::decodeSlowness : EngineLoad::prefillSlowness);
        if (endpoint->record != record)
            endpoint->record = record;
        auto region = regions.find(record.availabilityZone);
        endpoint->region = region == regions.end() ? std::string() : region->second;
        byService_[record.service].push_back(endpoint);
        // Records are sorted by id, so that each goes to the end.
        if (isNew)
            next.emplace_hint(next.end(), std::move(key), std::move(endpoint));
        else
            next.insert(next.end(), endpoints_.extract(known));
    }
    // What is left isn't registered any more.
    for (const auto& [key, endpoint] : endpoints_) {
        endpoint->isRegistered = false;
        if (endpoint->notices.isLeaving())
            rememberLeaving(key);
        for (const ChannelPointer& channel : endpoint->idleChannels)
            channel->reset();
        endpoint->idleChannels.clear();
    }
    endpoints_ = std::move(next);
}

UpstreamPointer EndpointDirectory::makeEndpoint(const Key& key)
{
    UpstreamPointer endpoint = std::make_shared<UpstreamEndpoint>();
    endpoint->notices = EndpointNotices(
        std::uniform_real_distribution<double>(0, EndpointNotices::maxReturnSpread)(random_));
    if (std::find(leaving_.begin(), leaving_.end(), key) != leaving_.end())
        endpoint->notices.markLeaving();
    return endpoint;
}

void EndpointDirectory::rememberLeaving(const Key& key)
{
    leaving_.push_back(key);
    if (leaving_.size() > maxLeaving)
        leaving_.pop_front();
}

void EndpointDirectory::setPeerLoad(const std::map<std::string, EndpointWork>& work)
{
    for (const auto& [key, endpoint] : endpoints_) {
        auto found = work.find(key.first);
        EndpointWork known = found == work.end() ? EndpointWork{} : found->second;
        endpoint->runningOnPeers = known.running;
        endpoint->engineLoad.setPeerTokens(known.promptTokens);
    }
}

void EndpointDirectory::onPeerLimit(
    const std::string& id, std::int64_t incarnation, const RequestLimitObservation& observation)
{
    auto found = endpoints_.find({id, incarnation});
    if (found != endpoints_.end())
        found->second->limit.onPeerObservation(observation);
}

void EndpointDirectory::requestLimitParts()
{
    for (const auto& [key, endpoint] : endpoints_)
        endpoint->limit.requestPart();
}

const std::vector<UpstreamPointer>& EndpointDirectory::endpointsOf(const std::string& service) const
{
    static const std::vector<UpstreamPointer> none;
    auto found = byService_.find(service);
    return found == byService_.end() ? none : found->second;
}

std::vector<UpstreamPointer> EndpointDirectory::servingEndpoints(const std::string& service) const
{
    std::vector<UpstreamPointer> result;
    for (const UpstreamPointer& endpoint : endpointsOf(service)) {
        if (endpoint->record.role != EngineRole::Prefill)
            result.push_back(endpoint);
    }
    return result;
}

std::vector<UpstreamPointer> EndpointDirectory::prefillEndpoints(const std::string& service) const
{
    std::vector<UpstreamPointer> result;
    for (const UpstreamPointer& endpoint : endpointsOf(service)) {
        if (endpoint->record.role == EngineRole::Prefill)
            result.push_back(endpoint);
    }
    return result;
}

std::vector<UpstreamPointer> EndpointDirectory::all() const
{
    std::vector<UpstreamPointer> result;
    result.reserve(endpoints_.size());
    for (const auto& [key, endpoint] : endpoints_)
        result.push_back(endpoint);
    return result;
}

} // namespace ragwortwinch
