#include "ragwortwinch/config/rules_parser.h"

#include "ragwortwinch/base/json.h"
#include "ragwortwinch/config/internal/field_reader.h"
#include "ragwortwinch/config/internal/rule_lines.h"

#include <algorithm>
#include <cctype>
#include <fmt/format.h>
#include <map>
#include <set>

namespace ragwortwinch {

namespace {

using internal::FieldReader;
using internal::RuleLine;

constexpr std::size_t keyHashDigits = 64;
constexpr std::size_t maxProblemsShown = 50;

bool isKeyHash(const std::string& text)
{
    return text.size() == keyHashDigits && std::all_of(text.begin(), text.end(), [](unsigned char digit) {
        return std::isdigit(digit) || (digit >= 'a' && digit <= 'f');
    });
}

// Builds the rules line by line and collects problems, including duplicate names and keys.
class RulesBuilder {
public:
    void addLine(const RuleLine& line, const Json& object)
    {
        FieldReader reader(
            object, [&line](const std::string&) { return line.number; }, problems_);
        std::string rule = reader.requiredText("rule");
        if (line.comment.empty())
            reader.problem(
                "", "the rule has no comment; end the line with // and the name of who asked for it");
        if (rule == "team")
            addTeam(reader);
        else if (rule == "route")
            addRoute(reader);
        else if (rule == "endpoint")
            addEndpoint(reader);
        else if (rule == "limit")
            addLimit(reader, line);
        else
            reader.problem(
                "rule", fmt::format("unknown rule `{}`; use team, route, endpoint or limit", rule));
        reader.reportUnknown();
    }

    void checkReferences()
    {
        std::set<std::string> services;
        for (const EndpointRule& endpoint : rules_.endpoints)
            services.insert(endpoint.service);
        for (const RouteRule& route : rules_.routes) {
            if (!services.contains(route.service))
                problems_.push_back(fmt::format("line {}: route `{}` names service `{}`, which no endpoint "
                                                "offers; add an endpoint rule or correct the name",
                    routeLines_[route.path], route.path, route.service));
        }
    }

    std::vector<std::string>& problems() { return problems_; }
    Rules take() { return std::move(rules_); }

private:
    void requireUniqueName(FieldReader& reader, const std::string& kind, const std::string& name)
    {
        if (!name.empty() && !names_.insert(kind + ":" + name).second)
            reader.problem("name", fmt::format("{} `{}` stands twice; remove or rename one", kind, name));
    }

    void addTeam(FieldReader& reader)
    {
        TeamRule team;
        team.name = reader.requiredText("name");
        team.keyHashes = reader.texts("keys");
        team.weight = reader.number("weight", team.weight, 1, 1000);
        team.maxConcurrent = reader.number("max_concurrent", team.maxConcurrent, 1, 100000);
        requireUniqueName(reader, "team", team.name);
        for (const std::string& hash : team.keyHashes) {
            if (!isKeyHash(hash))
                reader.problem("keys",
                    "a key is given by its SHA-256 in 64 lower-case hexadecimal digits; make one with "
                    "`ragwortwinch keys new`");
            else if (!keyHashes_.insert(hash).second)
                reader.problem("keys",
                    fmt::format("key {}... belongs to two teams or stands twice; give each team its own",
                        hash.substr(0, 8)));
        }
        rules_.teams.push_back(std::move(team));
    }

    void addRoute(FieldReader& reader)
    {
        RouteRule route;
        route.path = reader.requiredText("path");
        route.service = reader.requiredText("service");
        std::string access = reader.text("access", "keyed");
        std::optional<RouteAccess> parsed = routeAccessNames.parse(access);
        if (!parsed)
            reader.problem("access", fmt::format("`access` must be one of: {}", routeAccessNames.list()));
        route.access = parsed.value_or(RouteAccess::Keyed);
        route.isIdempotent = reader.boolean("idempotent", false);
        route.deadline = Millis(reader.number("deadline_ms", route.deadline.count(), 10, 3600000));
        if (!route.path.empty() && route.path.front() != '/')
            reader.problem("path", "`path` must start with /");
        requireUniqueName(reader, "route", route.path);
        routeLines_[route.path] = reader.lineOf("path");
        rules_.routes.push_back(std::move(route));
    }

    void addEndpoint(FieldReader& reader)
    {
        EndpointRule endpoint;
        endpoint.name = reader.requiredText("name");
        endpoint.service = reader.requiredText("service");
        std::optional<EndpointKind> kind = endpointKindNames.parse(reader.requiredText("kind"));
        if (!kind)
            reader.problem("kind", fmt::format("`kind` must be one of: {}", endpointKindNames.list()));
        endpoint.kind = kind.value_or(EndpointKind::Engine);
        std::string address = reader.requiredText("address");
        std::optional<SocketAddress> parsed = parseSocketAddress(address);
        if (!parsed)
            reader.problem("address",
                fmt::format("`{}` is not an IP number and a port, such as \"10.0.3.7:8080\"", address));
        endpoint.address = parsed.value_or(SocketAddress{});
        endpoint.availabilityZone = reader.requiredText("availability_zone");
        endpoint.region = reader.requiredText("region");
        endpoint.checksFencing = reader.boolean("checks_fencing", false);
        endpoint.price = reader.decimal("price", endpoint.price, 0, 1e6);
        endpoint.isReclaimable = reader.boolean("reclaimable", false);
        endpoint.slots = reader.number("slots", endpoint.slots, 1, 100000);
        requireUniqueName(reader, "endpoint", endpoint.name);
        rules_.endpoints.push_back(std::move(endpoint));
    }

    void addLimit(FieldReader& reader, const RuleLine& line)
    {
        std::string name = reader.requiredText("name");
        requireUniqueName(reader, "limit", name);
        Limits& limits = rules_.limits;
        auto millis = [&](Millis& target, std::int64_t minimum, std::int64_t maximum) {
            target = Millis(reader.number("value", target.count(), minimum, maximum));
        };
        if (name == "queue_per_team")
            limits.queuePerTeam = reader.number("value", 0, 1, 1000000);
        else if (name == "retry_percent")
            limits.retryPercent = reader.number("value", 0, 0, 100);
        else if (name == "freshness_bound_ms")
            millis(limits.freshnessBound, 100, 600000);
        else if (name == "endpoint_state_bound_ms")
            millis(limits.endpointStateBound, 100, 60000);
        else if (name == "entry_answer_ms")
            millis(limits.entryAnswerValidity, 100, 600000);
        else if (name == "claim_retention_ms")
            millis(limits.claimRetention, 1000, 2592000000);
        else if (name == "stream_idle_ms")
            millis(limits.streamIdleBound, 100, 600000);
        else if (name == "pieces_per_engine")
            limits.kvBlocksPerEngine = reader.number("value", 0, 1, 1000000);
        else if (name == "tokens_per_piece")
            limits.tokensPerKvBlock = reader.number("value", 0, 1, 100000);
        else if (name == "when_stale") {
            std::optional<StalePolicy> policy = stalePolicyNames.parse(reader.requiredText("value"));
            if (!policy)
                reader.problem(
                    "value", fmt::format("`when_stale` must be one of: {}", stalePolicyNames.list()));
            limits.stalePolicy = policy.value_or(StalePolicy::AgreeThenServe);
        } else {
            problems_.push_back(fmt::format(
                "line {}: unknown limit `{}`; see docs/RULES.md for the list", line.number, name));
            // Marks `value` as known; also reports a value that is not a text.
            reader.text("value", "");
        }
    }

    Rules rules_;
    std::vector<std::string> problems_;
    std::set<std::string> names_;
    std::set<std::string> keyHashes_;
    std::map<std::string, int> routeLines_;
};

boost::leaf::error_id problemsError(const std::vector<std::string>& problems)
{
    std::string message;
    for (std::size_t index = 0; index < std::min(problems.size(), maxProblemsShown); ++index)
        message += (index ? "\n" : "") + problems[index];
    if (problems.size() > maxProblemsShown)
        message += fmt::format("\nand {} more", problems.size() - maxProblemsShown);
    return makeError(ErrorKind::BadRules, message);
}

} // namespace

Result<Rules> parseRules(std::string_view text)
{
    BOOST_LEAF_AUTO(document, parseJson(text, ErrorKind::BadRules));
    if (!document.is_object() || document.size() != 1 || !document.contains("rules")
        || !document["rules"].is_array())
        return makeError(
            ErrorKind::BadRules, "line 1: the file is one object with one list: { \"rules\": [ ... ] }");
    const Json& list = document["rules"];
    std::vector<RuleLine> lines = internal::splitRuleLines(text);
    if (lines.size() != list.size())
        return makeError(ErrorKind::BadRules,
            fmt::format("line 1: the list holds {} rules but {} lines start with {{\"rule\"; write each rule "
                        "on one line of its own, its field `rule` first",
                list.size(), lines.size()));
    RulesBuilder builder;
    for (std::size_t index = 0; index < lines.size(); ++index) {
        Json object = parseJsonOrDiscard(lines[index].object);
        if (object.is_discarded() || object != list[index])
            builder.problems().push_back(fmt::format(
                "line {}: the rule does not end on its line; write each rule on one line of its own",
                lines[index].number));
        else
            builder.addLine(lines[index], list[index]);
    }
    builder.checkReferences();
    if (!builder.problems().empty())
        return problemsError(builder.problems());
    return builder.take();
}

} // namespace ragwortwinch
