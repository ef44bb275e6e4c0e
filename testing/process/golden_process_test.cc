// Compares whole sessions with golden files: the answers to the caller, and the last headers (for an engine
// also the body) that an endpoint received. RAGWORTWINCH_UPDATE_GOLDEN=1 rewrites the files.
#include "testing/process/test_system.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <fstream>
#include <regex>
#include <sstream>

namespace ragwortwinch::process {
namespace {

// Replaces the values that differ between runs: identifiers, addresses, times.
std::string normalize(std::string text)
{
    const std::pair<const char*, const char*> replacements[] = {
        {"[0-9a-f]{32}", "<id>"},
        {"127\\.0\\.0\\.1:[0-9]+", "<address>"},
        {"\"created\":[0-9]+", "\"created\":<time>"},
    };
    for (const std::pair<const char*, const char*>& replacement : replacements)
        text = std::regex_replace(text, std::regex(replacement.first), replacement.second);
    return text;
}

std::string describe(const std::string& title, const HttpCallResult& answer)
{
    std::string text = "== " + title + "\nstatus: " + std::to_string(answer.status) + "\n";
    for (const HttpHeaders::Field& field : answer.headers.fields())
        text += field.first + ": " + field.second + "\n";
    return text + "\n" + answer.body + "\n";
}

std::string describeReceived(TestSystem& system, const ChildProcess& standIn)
{
    Json state = system.control(standIn, "state");
    return "== what the endpoint saw\n" + state["last_headers"].dump(2) + "\n"
        + stringMember(state, "last_body") + "\n";
}

void checkGolden(const std::string& name, const std::string& session)
{
    std::string path = "testing/golden/" + name;
    if (std::getenv("RAGWORTWINCH_UPDATE_GOLDEN")) {
        std::ofstream(path) << session;
        return;
    }
    std::ifstream file(path);
    std::ostringstream expected;
    expected << file.rdbuf();
    CHECK(session == expected.str());
}

TEST_CASE("a chat session matches its golden file")
{
    TestSystem system({.nodes = 1, .engines = 1, .services = 1});
    std::string session = describe("GET /v1/models", system.entry(0, "GET", "/v1/models"));
    session += describe(
        "POST /v1/chat/completions, whole", system.chat(0, "Which kombucha goes with som tam?", 3));
    session += describeReceived(system, *system.engines[0]);
    session += describe("POST /v1/chat/completions, streamed", system.chat(0, "And with khao soi?", 3, true));
    session += describe("POST /v1/chat/completions, without a key",
        system.entry(0, "POST", "/v1/chat/completions", "{}", ""));
    session += describe("POST /v1/chat/completions, an unknown model",
        system.entry(0, "POST", "/v1/chat/completions",
            R"({"model":"other","messages":[{"role":"user","content":"?"}]})"));
    checkGolden("chat_session.txt", normalize(session));
}

TEST_CASE("a booking session matches its golden file")
{
    TestSystem system({.nodes = 2, .engines = 0, .services = 1});
    std::string session = describe("POST /orders/book through node 0", system.book(0, "crate-77", "order-1"));
    session += describeReceived(system, *system.services[0]);
    session += describe("the same through node 1", system.book(1, "crate-77", "order-1"));
    session += describe("another booking under the same key", system.book(1, "crate-78", "order-1"));
    system.setFault(*system.services[0], "lost_answer");
    session += describe("a booking whose answer is lost", system.book(0, "crate-79", "order-2"));
    system.setFault(*system.services[0], "none");
    session += describe("the same through node 1", system.book(1, "crate-79", "order-2"));
    session += "runs of crate-77: " + std::to_string(system.runsOf("crate-77"))
        + ", of crate-78: " + std::to_string(system.runsOf("crate-78"))
        + ", of crate-79: " + std::to_string(system.runsOf("crate-79")) + "\n";
    checkGolden("booking_session.txt", normalize(session));
}

} // namespace
} // namespace ragwortwinch::process
