#include "ragwortwinch/routing/endpoint_table.h"

namespace ragwortwinch {

EndpointTable::EndpointTable()
    : byService_(std::make_unique<ByService>())
{
}

void EndpointTable::update(const Rules& rules)
{
    std::map<std::string, EndpointPointer> current;
    for (const EndpointPointer& endpoint : all())
        current[endpoint->name()] = endpoint;
    auto next = std::make_unique<ByService>();
    for (const EndpointRule& rule : rules.endpoints) {
        auto found = current.find(rule.name);
        bool isUnchanged = found != current.end() && found->second->rule().address == rule.address
            && found->second->rule().service == rule.service
            && found->second->rule().checksFencing == rule.checksFencing
            && found->second->rule().slots == rule.slots;
        (*next)[rule.service].push_back(isUnchanged ? found->second : std::make_shared<EndpointState>(rule));
    }
    byService_.replace(std::move(next));
}

std::vector<EndpointPointer> EndpointTable::ofService(const std::string& service) const
{
    Snapshot<ByService>::Reader reader = byService_.read();
    auto found = reader->find(service);
    return found == reader->end() ? std::vector<EndpointPointer>() : found->second;
}

EndpointPointer EndpointTable::find(const std::string& name) const
{
    for (const EndpointPointer& endpoint : all()) {
        if (endpoint->name() == name)
            return endpoint;
    }
    return nullptr;
}

std::vector<EndpointPointer> EndpointTable::all() const
{
    std::vector<EndpointPointer> list;
    Snapshot<ByService>::Reader reader = byService_.read();
    for (const auto& service : *reader)
        list.insert(list.end(), service.second.begin(), service.second.end());
    return list;
}

} // namespace ragwortwinch
