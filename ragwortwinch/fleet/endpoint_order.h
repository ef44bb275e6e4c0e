// An order to one endpoint, or to the platform's API for provisioning endpoints.
#pragma once

#include "ragwortwinch/base/name_table.h"

#include <cstdint>
#include <string>

namespace ragwortwinch {

enum class OrderKind {
    SetRole,
    LoadModel,
    Drain,
    Resume,
    // To the platform: provision or release an endpoint.
    Provision,
    Release,
};

inline constexpr NameTable<OrderKind, 6> orderKindNames{{{
    {OrderKind::SetRole, "set_role"},
    {OrderKind::LoadModel, "load_model"},
    {OrderKind::Drain, "drain"},
    {OrderKind::Resume, "resume"},
    {OrderKind::Provision, "provision"},
    {OrderKind::Release, "release"},
}}};

struct EndpointOrder {
    // Endpoint name; for orders to the platform, the endpoint's kind and zone.
    std::string endpoint;
    OrderKind kind = OrderKind::SetRole;
    // Depends on the kind; for SetRole the role.
    std::string argument;
    // Sequence number; increases with each order of a zone, across lease holders.
    std::uint64_t number = 0;
    // Epoch of the lease under which the order is sent: its fencing token.
    std::uint64_t epoch = 0;
    // Whether the order was applied or refused.
    bool isDone = false;

    bool isToPlatform() const { return kind == OrderKind::Provision || kind == OrderKind::Release; }
    bool isSameOrder(const EndpointOrder& other) const
    {
        return endpoint == other.endpoint && kind == other.kind && argument == other.argument
            && number == other.number;
    }
};

// The outcome of an order, as far as the sender can tell.
enum class SendOutcome {
    Applied,
    // No effect: the endpoint has seen a greater fencing token, or can't execute the order.
    Refused,
    // No complete answer: it may have been applied.
    Unknown,
};

inline constexpr NameTable<SendOutcome, 3> sendOutcomeNames{{{
    {SendOutcome::Applied, "applied"},
    {SendOutcome::Refused, "refused"},
    {SendOutcome::Unknown, "unknown"},
}}};

} // namespace ragwortwinch
