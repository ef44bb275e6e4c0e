#include "ragwortwinch/membership/platform_list.h"

#include "ragwortwinch/base/json.h"

namespace ragwortwinch {

namespace {

SocketAddress addressMember(const Json& object, const char* name)
{
    return parseSocketAddress(stringMember(object, name)).value_or(SocketAddress{});
}

VmInfo readVm(const Json& item)
{
    VmInfo vm;
    vm.name = stringMember(item, "name");
    vm.availabilityZone = stringMember(item, "availability_zone");
    vm.region = stringMember(item, "region");
    vm.entryAddress = addressMember(item, "entry_address");
    vm.peerAddress = addressMember(item, "peer_address");
    vm.isLeaving = booleanMember(item, "leaving");
    return vm;
}

} // namespace

std::optional<PlatformList> parsePlatformList(std::string_view body)
{
    Json document = parseJsonOrDiscard(body);
    if (!document.is_object())
        return std::nullopt;
    PlatformList list;
    list.hasVms = document.contains("vms") && document["vms"].is_array();
    if (list.hasVms) {
        for (const Json& item : document["vms"])
            list.vms.push_back(readVm(item));
    }
    if (document.contains("endpoints") && document["endpoints"].is_array()) {
        for (const Json& item : document["endpoints"]) {
            if (booleanMember(item, "leaving"))
                list.leavingEndpoints[stringMember(item, "name")]
                    = static_cast<std::uint64_t>(integerMember(item, "incarnation"));
        }
    }
    return list;
}

} // namespace ragwortwinch
