// The daemon that runs on every entry VM.
#include "ragwortwinch/base/log_event.h"
#include "ragwortwinch/node/gateway_node.h"
#include "ragwortwinch/node/node.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <iostream>
#include <malloc.h>
#include <thread>

namespace {

namespace options = boost::program_options;

constexpr int exitUsage = 2;
constexpr int exitNotStarted = 3;
// The default threshold of glibc, which it would otherwise raise by itself.
constexpr int minMappedBytes = 128 * 1024;

sigset_t watchedSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (int signal : {SIGTERM, SIGINT, SIGHUP})
        sigaddset(&signals, signal);
    return signals;
}

// Blocks the watched signals in all threads, so that only `sigwait` receives them.
void blockSignals()
{
    sigset_t signals = watchedSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

// Prints the ports that the process listens on, which the operating system may have chosen.
template <typename AnyNode> void printPorts(const AnyNode& node)
{
    std::printf("started entry_port=%u admin_port=%u peer_port=%u\n", static_cast<unsigned>(node.entryPort()),
        static_cast<unsigned>(node.adminPort()), static_cast<unsigned>(node.peerPort()));
    std::fflush(stdout);
}

// Starts `node`, serves until SIGTERM or SIGINT has drained it, then exits the process. `onHangUp` runs on
// SIGHUP.
template <typename AnyNode> int runNode(AnyNode& node, const std::function<void()>& onHangUp)
{
    int failure = ragwortwinch::handleErrors(
        [&]() -> ragwortwinch::Result<int> {
            BOOST_LEAF_CHECK(node.start());
            return 0;
        },
        [](const ragwortwinch::Error& error) {
            std::cerr << error.message << std::endl;
            return exitNotStarted;
        });
    if (failure)
        std::_Exit(failure);
    printPorts(node);
    std::thread([&node, onHangUp] {
        sigset_t signals = watchedSignals();
        while (true) {
            int signal = 0;
            sigwait(&signals, &signal);
            if (signal == SIGHUP)
                onHangUp();
            else
                node.drain();
        }
    }).detach();
    node.waitUntilDrained();
    ragwortwinch::flushLogs();
    std::_Exit(0);
}

// Reloads the settings file into the node; invalid settings have no effect.
void reloadGateway(ragwortwinch::GatewayNode& node, const std::string& path)
{
    ragwortwinch::handleErrors(
        [&]() -> ragwortwinch::Result<int> {
            BOOST_LEAF_AUTO(text, ragwortwinch::readFile(path, ragwortwinch::ErrorKind::BadSettings));
            BOOST_LEAF_AUTO(settings, ragwortwinch::parseGatewaySettings(text));
            node.reload(std::move(settings));
            return 0;
        },
        [](const ragwortwinch::Error& error) {
            ragwortwinch::LogEvent("settings.not_reloaded", ragwortwinch::Severity::Error)
                .with("problem", error.message);
            return 0;
        });
}

// Checks every second whether the settings file has changed, since not every change comes with a SIGHUP.
void watchSettingsFile(ragwortwinch::GatewayNode& node, const std::string& path)
{
    std::thread([&node, path] {
        std::error_code ignored;
        std::filesystem::file_time_type lastModified = std::filesystem::last_write_time(path, ignored);
        while (true) {
            std::this_thread::sleep_for(std::chrono::seconds(1));
            std::filesystem::file_time_type modified = std::filesystem::last_write_time(path, ignored);
            if (modified == lastModified)
                continue;
            lastModified = modified;
            reloadGateway(node, path);
        }
    }).detach();
}

// Nodes are never destroyed: requests still running when the drain times out end with the process.
ragwortwinch::Result<int> runWithSettings(const std::string& path, const std::string& text, bool isCheckOnly)
{
    if (ragwortwinch::isGatewaySettings(text)) {
        BOOST_LEAF_AUTO(settings, ragwortwinch::parseGatewaySettings(text));
        if (isCheckOnly)
            return 0;
        // By default glibc raises the threshold with the blocks that it frees; freed bodies of a few
        // megabytes then stay in the heap, beside the account of what is held.
        if (settings.memoryMegabytes > 0)
            mallopt(M_MMAP_THRESHOLD, minMappedBytes);
        ragwortwinch::GatewayNode* node = new ragwortwinch::GatewayNode(std::move(settings));
        watchSettingsFile(*node, path);
        return runNode(*node, [node, path] { reloadGateway(*node, path); });
    }
    BOOST_LEAF_AUTO(settings, ragwortwinch::parseSettings(text));
    if (isCheckOnly)
        return 0;
    ragwortwinch::Node* node = new ragwortwinch::Node(std::move(settings));
    return runNode(*node, [] { ragwortwinch::LogEvent("settings.hang_up_ignored"); });
}

} // namespace

int main(int argc, char** argv)
{
    // Before anything that takes time: until then a SIGHUP ends the process.
    blockSignals();
    options::options_description description(
        "ragwortwinchd: serves callers on one entry VM\n\nusage: ragwortwinchd --settings FILE");
    description.add_options()("help", "show this text")("settings", options::value<std::string>(),
        "the settings of this process, JSON with comments")("check", "check the settings and exit");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
    } catch (const options::error& failure) {
        std::cerr << failure.what() << "; see ragwortwinchd --help" << std::endl;
        return exitUsage;
    }
    if (values.contains("help")) {
        std::cout << description << "\nSIGTERM starts a graceful shutdown. See docs/OPERATIONS.md.\n";
        return 0;
    }
    if (!values.contains("settings")) {
        std::cerr << "no settings given; start with --settings FILE, see docs/SETTINGS.md" << std::endl;
        return exitUsage;
    }
    ragwortwinch::startLogging();
    return ragwortwinch::handleErrors(
        [&]() -> ragwortwinch::Result<int> {
            std::string path = values["settings"].as<std::string>();
            BOOST_LEAF_AUTO(text, ragwortwinch::readFile(path, ragwortwinch::ErrorKind::BadSettings));
            return runWithSettings(path, text, values.contains("check"));
        },
        [](const ragwortwinch::Error& error) {
            std::cerr << error.message << std::endl;
            return exitNotStarted;
        });
}
