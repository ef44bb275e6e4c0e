#include "ragwortwinch/ctl/commands.h"

#include "ragwortwinch/base/digest.h"
#include "ragwortwinch/config/rules_parser.h"
#include "ragwortwinch/config/settings.h"
#include "ragwortwinch/ctl/admin_client.h"
#include "ragwortwinch/ctl/config_check.h"
#include "ragwortwinch/ctl/key_editor.h"
#include "ragwortwinch/ctl/line_diff.h"

#include <array>
#include <fmt/format.h>
#include <fstream>
#include <iostream>

namespace ragwortwinch {

namespace {

constexpr int keyBytes = 24;
constexpr int changeIdBytes = 12;

Result<std::string> requiredArgument(const CommandOptions& options, std::size_t index, const char* what)
{
    if (index >= options.arguments.size())
        return makeError(ErrorKind::BadRequest, fmt::format("{} is missing; see ragwortwinch --help", what));
    return options.arguments[index];
}

Result<void> writeFile(const std::string& path, const std::string& text)
{
    std::ofstream file(path, std::ios::binary | std::ios::trunc);
    file << text;
    file.close();
    if (!file)
        return makeError(
            ErrorKind::Internal, fmt::format("can't write `{}`; check the path and its permissions", path));
    return {};
}

// Path of the file that records which version the rules file is based on.
std::string versionPath(const std::string& path) { return path + ".version"; }

long long recordedVersion(const std::string& path)
{
    std::ifstream file(versionPath(path));
    long long version = 0;
    return file >> version ? version : 0;
}

Result<int> check(const CommandOptions& options)
{
    BOOST_LEAF_AUTO(path, requiredArgument(options, 0, "the FILE argument"));
    std::optional<ReportFormat> format = reportFormatNames.parse(options.format);
    if (!format)
        return makeError(
            ErrorKind::BadRequest, fmt::format("--format must be one of: {}", reportFormatNames.list()));
    BOOST_LEAF_AUTO(text, readFile(path, ErrorKind::BadRules));
    if (isGatewayConfig(text))
        return runConfigCheck({path, text, options.against, options.admin, *format}, std::cout);
    if (!options.against.empty() || *format != ReportFormat::Text)
        return makeError(ErrorKind::BadRequest,
            "--against and --format json are for a gateway's configuration; use `ragwortwinch diff` for "
            "rules");
    BOOST_LEAF_AUTO(rules, parseRules(text));
    std::cout << fmt::format("ok teams={} routes={} endpoints={}\n", rules.teams.size(), rules.routes.size(),
        rules.endpoints.size());
    return exitOk;
}

Result<int> fetch(const CommandOptions& options)
{
    BOOST_LEAF_AUTO(path, requiredArgument(options, 0, "the FILE argument"));
    BOOST_LEAF_AUTO(config, AdminClient(options.admin).get("/admin/v1/config"));
    BOOST_LEAF_CHECK(writeFile(path, stringMember(config, "text")));
    BOOST_LEAF_CHECK(writeFile(versionPath(path), std::to_string(integerMember(config, "version")) + "\n"));
    std::cout << fmt::format("fetched version={} file={}\n", integerMember(config, "version"), path);
    return exitOk;
}

Result<int> apply(const CommandOptions& options)
{
    BOOST_LEAF_AUTO(path, requiredArgument(options, 0, "the FILE argument"));
    BOOST_LEAF_AUTO(text, readFile(path, ErrorKind::BadRules));
    BOOST_LEAF_CHECK(parseRules(text));
    long long expected = options.expectedVersion >= 0 ? options.expectedVersion : recordedVersion(path);
    std::string target = fmt::format(
        "/admin/v1/config?expected_version={}&change={}", expected, secureRandomHex(changeIdBytes));
    BOOST_LEAF_AUTO(answer, AdminClient(options.admin).put(target, text));
    std::int64_t version = integerMember(answer, "version");
    BOOST_LEAF_CHECK(writeFile(versionPath(path), std::to_string(version) + "\n"));
    std::cout << fmt::format("accepted version={}\n", version);
    return exitOk;
}

Result<int> diff(const CommandOptions& options)
{
    BOOST_LEAF_AUTO(path, requiredArgument(options, 0, "the FILE argument"));
    BOOST_LEAF_AUTO(text, readFile(path, ErrorKind::BadRules));
    BOOST_LEAF_AUTO(config, AdminClient(options.admin).get("/admin/v1/config"));
    std::vector<std::string> lines = diffLines(stringMember(config, "text"), text);
    std::cout << fmt::format("in_force version={} file={} made_from={}\n", integerMember(config, "version"),
        path, recordedVersion(path));
    for (const std::string& line : lines)
        std::cout << line << '\n';
    return lines.empty() ? exitOk : exitFailed;
}

void printStatus(const Json& status)
{
    std::cout << fmt::format("node={} ready={} config_version={} store_down={} proof_age_ms={}\n",
        stringMember(status, "node"), booleanMember(status, "ready"), integerMember(status, "config_version"),
        booleanMember(status, "store_down"), integerMember(status, "proof_age_ms"));
    for (const Json& vm : status.at("vms"))
        std::cout << fmt::format("vm={} zone={} ready={} leaving={} silent_ms={}\n", stringMember(vm, "name"),
            stringMember(vm, "availability_zone"), booleanMember(vm, "ready"), booleanMember(vm, "leaving"),
            integerMember(vm, "silent_ms"));
    for (const Json& endpoint : status.at("endpoints"))
        std::cout << fmt::format("endpoint={} service={} zone={} running={} usable={} leaving={}\n",
            stringMember(endpoint, "name"), stringMember(endpoint, "service"),
            stringMember(endpoint, "availability_zone"), integerMember(endpoint, "running"),
            booleanMember(endpoint, "usable"), booleanMember(endpoint, "leaving"));
    if (auto limits = status.find("team_limits"); limits != status.end()) {
        auto figure = [](const Json& team, const char* name) { return team.at(name).get<double>(); };
        for (const Json& team : *limits)
            std::cout << fmt::format(
                "team={} unit={} limit_per_s={:.0f} burst={:.0f} asked_per_s_here={:.0f} "
                "asked_per_s_at_peers={:.0f} left={:.0f} allocation_per_s={:.0f}\n",
                stringMember(team, "team"), stringMember(team, "unit"), figure(team, "limit_per_s"),
                figure(team, "burst"), figure(team, "asked_per_s_here"), figure(team, "asked_per_s_at_peers"),
                figure(team, "left"), figure(team, "allocation_per_s"));
    }
    for (const Json& duty : status.at("duties")) {
        if (booleanMember(duty, "held"))
            std::cout << fmt::format("duty={} epoch={} quiet_period_over={}\n", stringMember(duty, "duty"),
                integerMember(duty, "epoch"), booleanMember(duty, "quiet_period_over"));
    }
}

Result<int> status(const CommandOptions& options)
{
    BOOST_LEAF_AUTO(state, AdminClient(options.admin).get("/admin/v1/status"));
    printStatus(state);
    return exitOk;
}

Result<int> dump(const CommandOptions& options)
{
    // The argument overrides --admin.
    std::string address = options.arguments.empty() ? options.admin : options.arguments[0];
    BOOST_LEAF_AUTO(state, AdminClient(address).get("/dump"));
    std::cout << state.dump(2) << '\n';
    return exitOk;
}

Result<int> keys(const CommandOptions& options)
{
    BOOST_LEAF_AUTO(action, requiredArgument(options, 0, "`new` or `withdraw`"));
    if (action == "new") {
        std::string key = "rw-" + secureRandomHex(keyBytes);
        std::string hash = sha256Hex(key);
        if (options.arguments.size() > 1) {
            if (options.team.empty())
                return makeError(
                    ErrorKind::BadRequest, "--team is missing; it gives the team that the new key is for");
            BOOST_LEAF_AUTO(text, readFile(options.arguments[1], ErrorKind::BadRules));
            BOOST_LEAF_AUTO(edited, addKeyHash(text, options.team, hash));
            BOOST_LEAF_CHECK(writeFile(options.arguments[1], edited));
        }
        std::cout << fmt::format("key={}\nhash={}\n", key, hash);
        return exitOk;
    }
    if (action == "withdraw") {
        BOOST_LEAF_AUTO(prefix, requiredArgument(options, 1, "the HASH argument"));
        BOOST_LEAF_AUTO(path, requiredArgument(options, 2, "the FILE argument"));
        BOOST_LEAF_AUTO(text, readFile(path, ErrorKind::BadRules));
        BOOST_LEAF_AUTO(edited, removeKeyHash(text, prefix));
        BOOST_LEAF_CHECK(writeFile(path, edited));
        std::cout << "withdrawn; apply the file to bring it into force\n";
        return exitOk;
    }
    return makeError(ErrorKind::BadRequest, "unknown action of `keys`; use `keys new` or `keys withdraw`");
}

Result<int> drain(const CommandOptions& options)
{
    BOOST_LEAF_CHECK(AdminClient(options.admin).post("/admin/v1/drain", "{}"));
    std::cout << "drain started; the process exits by itself\n";
    return exitOk;
}

Result<int> order(const CommandOptions& options)
{
    BOOST_LEAF_AUTO(endpoint, requiredArgument(options, 0, "the ENDPOINT argument"));
    BOOST_LEAF_AUTO(kind, requiredArgument(options, 1, "the KIND argument"));
    std::string argument = options.arguments.size() > 2 ? options.arguments[2] : std::string();
    BOOST_LEAF_CHECK(AdminClient(options.admin)
                         .post("/admin/v1/orders",
                             Json({{"endpoint", endpoint}, {"kind", kind}, {"argument", argument}}).dump()));
    std::cout << "order accepted; see its state with `ragwortwinch dump`\n";
    return exitOk;
}

struct Command {
    const char* name;
    const char* usage;
    const char* help;
    Result<int> (*run)(const CommandOptions&);
};

constexpr std::array<Command, 9> commands{{
    {"check", "check FILE [--against FILE|in-force]",
        "check the rules or the gateway's configuration in FILE; nothing is changed", check},
    {"fetch", "fetch FILE", "write the rules in force to FILE, and note their version beside it", fetch},
    {"apply", "apply FILE", "bring the rules in FILE into force, if no other change came first", apply},
    {"diff", "diff FILE", "show what FILE would change", diff},
    {"status", "status", "show VMs, endpoints and duties as one node sees them", status},
    {"dump", "dump [ADDRESS]", "print the whole state of a node as JSON, without secrets", dump},
    {"keys", "keys new [FILE --team T] | keys withdraw HASH FILE", "make a key, or take one out of the rules",
        keys},
    {"drain", "drain", "stop a node gracefully", drain},
    {"order", "order ENDPOINT KIND [ARGUMENT]",
        "give an endpoint an order: set_role, load_model, drain, resume", order},
}};

int exitCodeOf(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::BadRequest:
        return exitUsage;
    case ErrorKind::BadRules:
        return exitInvalid;
    case ErrorKind::Conflict:
        return exitConflict;
    default:
        return exitFailed;
    }
}

} // namespace

std::string commandHelp()
{
    std::string text;
    for (const Command& command : commands)
        text += fmt::format("  {:<52} {}\n", command.usage, command.help);
    return text;
}

int runCommand(const std::string& name, const CommandOptions& options)
{
    for (const Command& command : commands) {
        if (name != command.name)
            continue;
        return handleErrors([&] { return command.run(options); },
            [](const Error& error) {
                std::cerr << errorKindNames.name(error.kind) << ": " << error.message << std::endl;
                return exitCodeOf(error.kind);
            });
    }
    std::cerr << fmt::format("unknown command `{}`; see ragwortwinch --help", name) << std::endl;
    return exitUsage;
}

} // namespace ragwortwinch
