// A RequestCodec with short header names, for tests of the forwarding path.
#pragma once

#include "ragwortwinch/forward/request_codec.h"

#include <chrono>
#include <cstdlib>
#include <sstream>
#include <string>
#include <thread>

namespace ragwortwinch::testing {

class FakeCodec final : public RequestCodec {
public:
    CallerRequest decodeRequest(const HttpFields& fields) const override
    {
        // Holds up the forwarding thread, in milliseconds.
        std::this_thread::sleep_for(std::chrono::milliseconds(std::atoll(text(fields, "Stall").c_str())));
        CallerRequest request;
        request.id = text(fields, "Id");
        request.key = text(fields, "Key");
        request.lastEventId = text(fields, "Last-Event-Id");
        std::string limit = text(fields, "Limit");
        if (!limit.empty())
            request.timeLimit = Millis(std::atoll(limit.c_str()));
        request.hasTokenCounts = !text(fields, "Tokens").empty();
        request.promptTokens = std::atoll(text(fields, "Tokens").c_str());
        // Hexadecimal ids, separated by spaces.
        std::istringstream parts(text(fields, "Parts"));
        for (std::uint64_t id = 0; parts >> std::hex >> id;)
            request.promptParts.push_back({id, 100});
        return request;
    }

    void appendForwarded(
        std::string& out, const HttpFields& caller, const ForwardedFields& own) const override
    {
        for (const HttpFields::value_type& field : caller) {
            std::string name(field.name_string());
            if (isConnectionField(name) || name == "Key" || name == "Limit" || name == "Last-Event-Id")
                continue;
            out += name + ": " + std::string(field.value()) + "\r\n";
        }
        out += "Endpoint: " + own.endpointId + "\r\nLimit: " + std::to_string(own.timeLeft.count()) + "\r\n";
        if (!own.team.empty())
            out += "Team: " + own.team + "\r\n";
        if (own.isPrefill)
            out += "Prefill: 1\r\n";
        if (!own.cacheSource.empty())
            out += "Cache: " + own.cacheSource + "\r\n";
        if (!own.resumeAfter.empty())
            out += "Last-Event-Id: " + own.resumeAfter + "\r\n";
    }

    EndpointReply decodeReply(const HttpFields& fields) const override
    {
        EndpointReply reply;
        reply.requestId = text(fields, "Id");
        auto [first, last] = fields.equal_range("Id");
        for (auto id = first; id != last; ++id)
            reply.isContradictory = reply.isContradictory || id->value() != first->value();
        reply.isNotExecuted = !text(fields, "Not-Run").empty();
        reply.isSigned = text(fields, "Unsigned").empty();
        reply.isEncoded = !text(fields, "Content-Encoding").empty();
        reply.isLeaving = text(fields, "Leaving") == "1";
        reply.retryAfter = parseRetryAfter(text(fields, "Retry-After"));
        std::string limit = text(fields, "Request-Limit");
        if (!limit.empty())
            reply.requestLimit = std::atof(limit.c_str());
        return reply;
    }

    std::string decodePrefillHandle(std::string_view body) const override { return std::string(body); }
    std::string freeHandleTarget(const std::string& handle) const override { return "/handle/" + handle; }
    void appendLocalReply(std::string& out, const std::string& requestId) const override
    {
        out += "Id: " + requestId + "\r\n";
    }

private:
    static std::string text(const HttpFields& fields, const char* name)
    {
        auto found = fields.find(name);
        return found == fields.end() ? std::string() : std::string(found->value());
    }
};

} // namespace ragwortwinch::testing
