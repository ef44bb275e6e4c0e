#include "ragwortwinch/base/log_writer.h"

#include <chrono>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <string>
#include <unistd.h>

namespace ragwortwinch {
namespace {

std::string readAvailable(int descriptor)
{
    fcntl(descriptor, F_SETFL, O_NONBLOCK);
    std::string text;
    char buffer[4096];
    ssize_t size = 0;
    while ((size = read(descriptor, buffer, sizeof(buffer))) > 0)
        text.append(buffer, static_cast<std::size_t>(size));
    return text;
}

TEST_CASE("lines arrive in order, each on its own line")
{
    int pipes[2];
    REQUIRE(pipe(pipes) == 0);
    {
        LogWriter writer(pipes[1]);
        CHECK(writer.write("event=a"));
        CHECK(writer.write("event=b"));
        writer.flush(2000);
    }
    CHECK(readAvailable(pipes[0]) == "event=a\nevent=b\n");
    close(pipes[0]);
    close(pipes[1]);
}

TEST_CASE("a reader that takes nothing doesn't block writers, and dropped lines are counted")
{
    int pipes[2];
    REQUIRE(pipe(pipes) == 0);
    constexpr std::size_t capacity = 64 * 1024;
    constexpr int lines = 20000;
    std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    std::uint64_t dropped = 0;
    {
        LogWriter writer(pipes[1], capacity);
        for (int index = 0; index < lines; ++index)
            writer.write("event=filler number=" + std::to_string(index));
        dropped = writer.droppedLines();
    }
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(2));
    CHECK(dropped > 0);
    close(pipes[0]);
    close(pipes[1]);
}

TEST_CASE("dropped lines are reported once the queue has room again")
{
    int pipes[2];
    REQUIRE(pipe(pipes) == 0);
    LogWriter writer(pipes[1], 100);
    CHECK_FALSE(writer.write(std::string(200, 'x')));
    CHECK(writer.write("event=next"));
    writer.flush(2000);
    CHECK(readAvailable(pipes[0]) == "event=log.dropped lines=1\nevent=next\n");
    close(pipes[0]);
    close(pipes[1]);
}

TEST_CASE("a line dropped while the writer is idle doesn't stop later writes")
{
    int pipes[2];
    REQUIRE(pipe(pipes) == 0);
    LogWriter writer(pipes[1], 100);
    // Long enough for the writer's thread to become idle.
    usleep(100000);
    CHECK_FALSE(writer.write(std::string(200, 'x')));
    CHECK(writer.write("event=next"));
    writer.flush(2000);
    CHECK(readAvailable(pipes[0]) == "event=log.dropped lines=1\nevent=next\n");
    close(pipes[0]);
    close(pipes[1]);
}

} // namespace
} // namespace ragwortwinch
