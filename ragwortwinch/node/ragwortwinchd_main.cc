// The daemon that runs on every entry VM.
#include "ragwortwinch/base/log_event.h"
#include "ragwortwinch/node/node.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace {

namespace options = boost::program_options;

constexpr int exitUsage = 2;
constexpr int exitBadSettings = 3;

// Blocks the signals that stop the daemon, so that only `waitForSignal` gets them.
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int runNode(ragwortwinch::Settings settings)
{
    sigset_t signals = blockStopSignals();
    // Never destroyed: requests that outlive the drain's bound end with the process.
    ragwortwinch::Node* node = new ragwortwinch::Node(std::move(settings));
    int failure = ragwortwinch::handleErrors(
        [&]() -> ragwortwinch::Result<int> {
            BOOST_LEAF_CHECK(node->start());
            return 0;
        },
        [](const ragwortwinch::Error& error) {
            std::cerr << error.message << std::endl;
            return exitBadSettings;
        });
    if (failure)
        std::_Exit(failure);
    std::printf("started entry_port=%u admin_port=%u peer_port=%u\n",
        static_cast<unsigned>(node->entryPort()), static_cast<unsigned>(node->adminPort()),
        static_cast<unsigned>(node->peerPort()));
    std::fflush(stdout);
    std::thread([node, signals] {
        int signal = 0;
        sigwait(&signals, &signal);
        node->drain();
    }).detach();
    node->waitUntilDrained();
    std::_Exit(0);
}

} // namespace

int main(int argc, char** argv)
{
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
        std::cout << description << "\nSIGTERM starts a graceful shutdown. See docs/OPERATING.md.\n";
        return 0;
    }
    if (!values.contains("settings")) {
        std::cerr << "no settings given; start with --settings FILE, see docs/SETTINGS.md" << std::endl;
        return exitUsage;
    }
    ragwortwinch::startLogging();
    return ragwortwinch::handleErrors(
        [&]() -> ragwortwinch::Result<int> {
            BOOST_LEAF_AUTO(settings, ragwortwinch::loadSettings(values["settings"].as<std::string>()));
            return values.contains("check") ? 0 : runNode(std::move(settings));
        },
        [](const ragwortwinch::Error& error) {
            std::cerr << error.message << std::endl;
            return exitBadSettings;
        });
}
