// Simulates the schedules of a range of seeds and stops at the first violation.
//
// Search, with the command for a replay printed at a violation:
//     protocol_run --from 1 --count 1000000 --jobs 6
// Replay of one seed:
//     protocol_run --from 4711 --count 1
// Check that a violation occurs with a mechanism disabled (exit code 0 if one is found):
//     protocol_run --off quiet_period --count 1000
#include "ragwortwinch/base/invariant.h"
#include "ragwortwinch/base/mechanism.h"
#include "testing/protocol/protocol_run.h"

#include <atomic>
#include <boost/program_options.hpp>
#include <iostream>
#include <mutex>
#include <thread>

namespace {

namespace options = boost::program_options;

struct Search {
    std::atomic<std::uint64_t> next;
    std::uint64_t end = 0;
    std::atomic<bool> isFound{false};
    std::mutex output;
};

void searchSeeds(Search& search)
{
    while (!search.isFound.load()) {
        std::uint64_t seed = search.next.fetch_add(1);
        if (seed >= search.end)
            return;
        std::vector<std::string> violations = ragwortwinch::protocol::runProtocols(seed);
        if (violations.empty())
            continue;
        search.isFound.store(true);
        std::lock_guard<std::mutex> lock(search.output);
        for (const std::string& violation : violations)
            std::cout << "seed " << seed << ": " << violation << '\n';
        std::cout << "replay: build/testing/protocol_run --from " << seed << " --count 1" << std::endl;
    }
}

} // namespace

int main(int argc, char** argv)
{
    options::options_description description(
        "protocol_run: randomized simulations of the protocol classes, one per seed");
    description.add_options()("help", "show this text")("from",
        options::value<std::uint64_t>()->default_value(1),
        "first seed")("count", options::value<std::uint64_t>()->default_value(1000), "how many seeds")(
        "jobs", options::value<int>()->default_value(1), "threads")("off",
        options::value<std::vector<std::string>>()->default_value({}, "none"),
        "switch a mechanism off; may be repeated");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    if (values.contains("help")) {
        std::cout << description << "\nmechanisms: " << ragwortwinch::mechanismNames.list() << '\n';
        return 0;
    }
    ragwortwinch::setInvariantMode(ragwortwinch::InvariantMode::Throw);
    std::vector<std::unique_ptr<ragwortwinch::ScopedDisable>> off;
    for (const std::string& name : values["off"].as<std::vector<std::string>>()) {
        std::optional<ragwortwinch::Mechanism> mechanism = ragwortwinch::mechanismNames.parse(name);
        if (!mechanism) {
            std::cerr << "unknown mechanism; use one of: " << ragwortwinch::mechanismNames.list() << '\n';
            return 2;
        }
        off.push_back(std::make_unique<ragwortwinch::ScopedDisable>(*mechanism));
    }
    Search search;
    search.next = values["from"].as<std::uint64_t>();
    search.end = search.next + values["count"].as<std::uint64_t>();
    std::vector<std::thread> threads;
    for (int index = 0; index < values["jobs"].as<int>(); ++index)
        threads.emplace_back([&search] { searchSeeds(search); });
    for (std::thread& thread : threads)
        thread.join();
    std::cout << (search.isFound ? "violation found\n" : "no violation\n");
    return search.isFound.load() != off.empty() ? 0 : 1;
}
