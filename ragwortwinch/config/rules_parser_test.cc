#include "ragwortwinch/config/rules_parser.h"

#include "ragwortwinch/config/settings.h"

#include <doctest/doctest.h>

namespace ragwortwinch {
namespace {

const std::string keyHash(64, 'a');

std::string withLine(const std::string& line)
{
    return "{ \"rules\": [\n{\"rule\": \"endpoint\", \"name\": \"e\", \"service\": \"s\", \"kind\": "
           "\"engine\", \"address\": \"10.0.0.1:80\", "
           "\"availability_zone\": \"z\", \"region\": \"r\"}, // operations\n"
        + line + "\n] }\n";
}

std::string problemOf(const std::string& text)
{
    return handleErrors(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(parseRules(text));
            return std::string("none");
        },
        [](const Error& error) { return error.message; });
}

TEST_CASE("a valid file is parsed, and `//` inside a string is no comment")
{
    Rules rules = handleErrors(
        [&] {
            return parseRules(withLine("{\"rule\": \"team\", \"name\": \"riders // all\", \"keys\": [\""
                + keyHash + "\"], \"weight\": 3} // Nok"));
        },
        [](const Error& error) {
            FAIL(error.message);
            return Rules();
        });
    REQUIRE(rules.teams.size() == 1);
    CHECK(rules.teams[0].name == "riders // all");
    CHECK(rules.teams[0].weight == 3);
    CHECK(rules.endpoints[0].address.text() == "10.0.0.1:80");
}

TEST_CASE("each problem names its line and its remedy")
{
    struct Case {
        const char* line;
        const char* expected;
    };
    const Case cases[] = {
        {"{\"rule\": \"limit\", \"name\": \"retry_percent\", \"value\": 10}",
            "line 3: the rule has no comment"},
        {"{\"rule\": \"team\", \"name\": \"t\", \"wieght\": 1} // Nok",
            "line 3: unknown field `wieght`; did you mean `weight`?"},
        {"{\"rule\": \"team\", \"name\": \"t\", \"weight\": 0} // Nok",
            "line 3: field `weight` must be a whole number from 1 to 1000"},
        {"{\"rule\": \"team\", \"name\": \"t\", \"keys\": [\"secret\"]} // Nok",
            "line 3: a key is given by its SHA-256"},
        {"{\"rule\": \"taem\", \"name\": \"t\"} // Nok", "line 3: unknown rule `taem`"},
        {"{\"rule\": \"limit\", \"name\": \"nothing\", \"value\": 1} // Nok",
            "line 3: unknown limit `nothing`"},
        {"{\"rule\": \"route\", \"path\": \"/x\", \"service\": \"other\"} // Nok",
            "line 3: route `/x` names service `other`, which no endpoint offers"},
        {"{\"rule\": \"team\", \"name\": \"t\"}, // Nok\n{\"rule\": \"team\", \"name\": \"t\"} // Ploy",
            "line 4: team `t` stands twice"},
        {"{\"rule\": \"team\", // Nok\n \"name\": \"t\"} // Nok",
            "line 3: the rule does not end on its line"},
        {"{\"rule\": \"endpoint\", \"name\": \"f\", \"service\": \"s\", \"kind\": \"engine\", \"address\": "
         "\"host:80\", \"availability_zone\": \"z\", \"region\": \"r\"} // Nok",
            "line 3: `host:80` is not an IP number and a port"},
        {"{\"rule\": \"limit\", \"name\": \"when_stale\", \"value\": \"hope\"} // Nok",
            "line 3: `when_stale` must be one of: agree_then_serve, refuse, serve"},
    };
    for (const Case& entry : cases) {
        std::string problem = problemOf(withLine(entry.line));
        CAPTURE(problem);
        CHECK(problem.find(entry.expected) != std::string::npos);
    }
}

TEST_CASE("text that is not a list of rules is rejected")
{
    CHECK(problemOf("").find("line 1") != std::string::npos);
    CHECK(problemOf("{}").find("one object with one list") != std::string::npos);
    CHECK(problemOf("{ \"rules\": [ {\"name\": \"x\", \"rule\": \"team\"} ] }").find("one line of its own")
        != std::string::npos);
}

TEST_CASE("the error of invalid settings lists every problem with its line")
{
    std::string problem = handleErrors(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(parseSettings(
                "{ // comment\n\"node\": \"n\",\n\"entry_address\": \"here\",\n\"lease_ttl_ms\": 5\n}"));
            return std::string("none");
        },
        [](const Error& error) { return error.message; });
    CHECK(problem.find("line 3: field `entry_address` must be an IP number") != std::string::npos);
    CHECK(problem.find("line 4: field `lease_ttl_ms` must be a whole number from 300") != std::string::npos);
    CHECK(problem.find("field `availability_zone` is missing") != std::string::npos);
}

// The parser reports this by an exception of another type; it ended the process.
TEST_CASE("a number that is too large is an error")
{
    CHECK(problemOf("{ \"rules\": [1e999] }").find("too large") != std::string::npos);
}

} // namespace
} // namespace ragwortwinch
