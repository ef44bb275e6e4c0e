#include "testing/process/test_system.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <future>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace ragwortwinch::process {
namespace {

// Sends raw bytes and returns everything received until the peer closes the connection.
std::string exchangeRaw(std::uint16_t port, const std::string& bytes)
{
    int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    REQUIRE(connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        ssize_t count = send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            break;
        sent += static_cast<std::size_t>(count);
    }
    std::string answer;
    char buffer[4096];
    ssize_t count = 0;
    while ((count = recv(descriptor, buffer, sizeof(buffer), 0)) > 0)
        answer.append(buffer, static_cast<std::size_t>(count));
    close(descriptor);
    return answer;
}

std::string kindOf(const HttpCallResult& answer)
{
    return stringMember(parseJsonOrDiscard(answer.body)["error"], "kind");
}

TEST_CASE("malformed input gets an error of the right kind, takes bounded memory and does not affect other "
          "requests")
{
    TestSystem system({.nodes = 1, .engines = 1, .services = 1});
    std::uint16_t port = system.nodes[0]->port("entry_port");
    long before = system.nodes[0]->residentKilobytes();

    CHECK(kindOf(system.entry(0, "POST", "/v1/chat/completions", "{broken")) == "bad_request");
    CHECK(kindOf(system.entry(0, "POST", "/v1/chat/completions", "[]")) == "bad_request");
    CHECK(kindOf(system.entry(0, "POST", "/v1/chat/completions", R"({"model":"brew-model","messages":[]})"))
        == "bad_request");
    CHECK(kindOf(system.entry(
              0, "POST", "/v1/chat/completions", R"({"model":"none","messages":[{"role":"user"}]})"))
        == "no_route");
    CHECK(kindOf(system.entry(0, "GET", "/nowhere")) == "no_route");
    CHECK(kindOf(system.entry(0, "POST", "/orders/book", "{}", "")) == "unauthorized");
    CHECK(kindOf(system.entry(0, "POST", "/orders/book", "{}", "wrong")) == "unauthorized");

    constexpr std::size_t hundredMegabytes = 100 * 1024 * 1024;
    CHECK(exchangeRaw(port, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 104857600\r\n\r\n")
              .find("bad_request")
        != std::string::npos);
    exchangeRaw(port, "GET / HTTP/1.1\r\nX-Long: " + std::string(hundredMegabytes, 'a') + "\r\n\r\n");
    CHECK(exchangeRaw(port, "GET / HTTP/1.1\r\nX-Long: " + std::string(40000, 'a') + "\r\n\r\n")
              .find("bad_request")
        != std::string::npos);
    CHECK(exchangeRaw(port, "this is no HTTP\r\n\r\n").find("bad_request") != std::string::npos);

    std::uint16_t peerPort = system.nodes[0]->port("peer_port");
    // A length over the limit, a payload that is not msgpack, and a ConfigRequest that no digest precedes.
    exchangeRaw(peerPort, std::string("\xff\xff\xff\xff\x01\x01", 6));
    exchangeRaw(peerPort, std::string("\x00\x00\x00\x02\x01\x01\xc1\xc1", 8));
    exchangeRaw(peerPort, std::string("\x00\x00\x00\x00\x01\x02", 6));

    CHECK(system.nodes[0]->residentKilobytes() - before < 64 * 1024);
    CHECK(system.chat(0, "still there", 3).status == 200);
    CHECK(system.admin(0, "GET", "/dump")["broken_invariants"] == 0);
}

TEST_CASE("a sender that stops in the middle of a request gets an error and is disconnected, while others "
          "are served")
{
    TestSystem system({.nodes = 1, .engines = 1, .services = 1});
    std::uint16_t port = system.nodes[0]->port("entry_port");
    std::future<std::string> slow = std::async(std::launch::async, [port] {
        return exchangeRaw(port, "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 50\r\n\r\n{");
    });
    CHECK(system.chat(0, "meanwhile", 3).status == 200);
    CHECK(slow.get().find("bad_request") != std::string::npos);
}

} // namespace
} // namespace ragwortwinch::process
