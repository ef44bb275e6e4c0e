// Processor time of single operations, and how it grows with the number of endpoints, teams and VMs and with
// the size of a request.
//
//     build/bench/micro_benchmarks --benchmark_format=console
#include "ragwortwinch/admission/fair_queue.h"
#include "ragwortwinch/admission/key_table.h"
#include "ragwortwinch/base/digest.h"
#include "ragwortwinch/base/snapshot.h"
#include "ragwortwinch/config/rules_parser.h"
#include "ragwortwinch/dispatch/answer_assembler.h"
#include "ragwortwinch/dispatch/chat_request.h"
#include "ragwortwinch/fleet/order_journal.h"
#include "ragwortwinch/lease/lease_keeper.h"
#include "ragwortwinch/membership/peer_load.h"
#include "ragwortwinch/membership/peer_message.h"
#include "ragwortwinch/membership/vm_table.h"
#include "ragwortwinch/routing/endpoint_table.h"
#include "ragwortwinch/routing/scoring_router.h"
#include "ragwortwinch/usage/closed_window.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

namespace ragwortwinch {
namespace {

EndpointPointer makeEngine(std::int64_t index)
{
    EndpointRule rule;
    rule.name = fmt::format("engine-{}", index);
    rule.service = "model";
    rule.availabilityZone = fmt::format("zone-{}", index % 9);
    rule.region = fmt::format("region-{}", index % 3);
    EndpointPointer endpoint = std::make_shared<EndpointState>(rule);
    endpoint->setReport(Instant(Millis(1000)), {index % 50, index % 1500, 2000, 0, false, "mixed", 1});
    return endpoint;
}

std::string rulesText(std::int64_t teams)
{
    std::string text = "{ \"rules\": [\n";
    for (std::int64_t index = 0; index < teams; ++index)
        text += fmt::format(
            "{{\"rule\": \"team\", \"name\": \"team-{}\", \"keys\": [\"{}\"], \"weight\": 2}}, // somebody\n",
            index, sha256Hex(std::to_string(index)));
    return text + "{\"rule\": \"limit\", \"name\": \"retry_percent\", \"value\": 10} // operations\n] }\n";
}

Rules makeRules(std::int64_t teams)
{
    return handleErrors([&] { return parseRules(rulesText(teams)); }, [](const Error&) { return Rules(); });
}

PeerDigest makeDigest(std::int64_t loads)
{
    PeerDigest digest;
    digest.sender = {"node-17", "zone-4", "region-1", {"10.0.0.17", 8080}, {"10.0.0.17", 8300}, 1796358023862,
        false, true};
    for (std::int64_t index = 0; index < loads; ++index)
        digest.loads.push_back({fmt::format("engine-{}", index), 4, 700});
    return digest;
}

// One routing decision among state.range(0) candidates.
void chooseEndpoint(benchmark::State& state)
{
    PrefixIndex prefixes(65536);
    ScoringRouter router({"zone-0", "region-0"}, prefixes);
    std::vector<EndpointPointer> candidates;
    for (std::int64_t index = 0; index < state.range(0); ++index)
        candidates.push_back(makeEngine(index));
    RouteQuery query;
    query.service = "model";
    query.promptTokens = 2000;
    query.outputTokens = 200;
    query.prefixes = hashPrefixes(std::string(8000, 'x'), 256, 256);
    for (auto _ : state)
        benchmark::DoNotOptimize(router.choose(query, candidates, Limits(), Instant(Millis(1000))));
}
BENCHMARK(chooseEndpoint)->Arg(8)->Arg(64)->Arg(256)->Arg(1600);

void parseAndCheckRules(benchmark::State& state)
{
    std::string text = rulesText(state.range(0));
    for (auto _ : state)
        benchmark::DoNotOptimize(
            handleErrors([&] { return parseRules(text); }, [](const Error&) { return Rules(); }));
    state.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(parseAndCheckRules)->Arg(8)->Arg(1200)->Arg(12000)->Unit(benchmark::kMillisecond);

void buildKeyTable(benchmark::State& state)
{
    auto rules = std::make_shared<const Rules>(makeRules(state.range(0)));
    for (auto _ : state)
        benchmark::DoNotOptimize(KeyTable(rules));
}
BENCHMARK(buildKeyTable)->Arg(8)->Arg(12000)->Unit(benchmark::kMicrosecond);

// Key lookup on the request path. A reader never waits for the replacement of the configuration, so this is
// also its worst case.
void readSnapshotAndFindKey(benchmark::State& state)
{
    Snapshot<KeyTable> keys(
        std::make_unique<KeyTable>(std::make_shared<const Rules>(makeRules(state.range(0)))));
    for (auto _ : state)
        benchmark::DoNotOptimize(keys.read()->find("11"));
}
BENCHMARK(readSnapshotAndFindKey)->Arg(8)->Arg(12000);

void encodeAndDecodeDigest(benchmark::State& state)
{
    PeerDigest digest = makeDigest(state.range(0));
    std::size_t bytes = 0;
    for (auto _ : state) {
        std::string frame = encodeDigest(digest);
        bytes = frame.size();
        PeerFrameReader reader;
        reader.append(frame);
        benchmark::DoNotOptimize(decodeDigest(reader.next()->payload));
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(encodeAndDecodeDigest)->Arg(0)->Arg(14)->Arg(64)->Arg(256);

void listUsableVms(benchmark::State& state)
{
    VmTable table("self", Millis(3000));
    for (std::int64_t index = 0; index < state.range(0); ++index)
        table.onHeartbeat(Instant(Millis(1000)),
            {fmt::format("node-{}", index), "z", "r", {"10.0.0.1", 1}, {"10.0.0.1", 2}, 1, false, true});
    for (auto _ : state)
        benchmark::DoNotOptimize(table.usable(Instant(Millis(1500))));
}
BENCHMARK(listUsableVms)->Arg(8)->Arg(330);

void fairQueueTurn(benchmark::State& state)
{
    FairQueue queue;
    std::uint64_t id = 0;
    for (std::int64_t team = 0; team < state.range(0); ++team)
        queue.push({++id, fmt::format("team-{}", team), 1, 400, Instant::max()});
    for (auto _ : state) {
        const QueuedRequest* next = queue.front([](const std::string&) { return true; });
        QueuedRequest again = *next;
        queue.popFront();
        queue.push(std::move(again));
    }
}
BENCHMARK(fairQueueTurn)->Arg(8)->Arg(1000)->Arg(12000);

void assembleToken(benchmark::State& state)
{
    std::string event
        = "data: "
          "{\"id\":\"chatcmpl-0123456789abcdef\",\"object\":\"chat.completion.chunk\",\"model\":\"m\","
          "\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"},\"finish_reason\":null}]}\n\n";
    EventReader reader;
    AnswerAssembler answer;
    std::int64_t offset = 0;
    for (auto _ : state) {
        if (offset % 4096 == 0)
            answer = AnswerAssembler();
        reader.append(fmt::format("id: {}\n", offset % 4096) + event);
        benchmark::DoNotOptimize(answer.take(*reader.next()));
        ++offset;
    }
}
BENCHMARK(assembleToken);

void parseChat(benchmark::State& state)
{
    std::string body
        = Json({{"model", "m"},
                   {"messages",
                       {{{"role", "user"},
                           {"content", std::string(static_cast<std::size_t>(state.range(0)), 'x')}}}}})
              .dump();
    for (auto _ : state)
        benchmark::DoNotOptimize(
            handleErrors([&] { return parseChatRequest(body); }, [](const Error&) { return ChatRequest(); }));
}
BENCHMARK(parseChat)->Arg(400)->Arg(8000)->Arg(64000);

void closeUsageWindow(benchmark::State& state)
{
    std::map<std::string, WindowUsage> totals;
    for (std::int64_t team = 0; team < state.range(0); ++team) {
        for (std::int64_t node = 0; node < 8; ++node)
            totals[fmt::format("node-{}", node)][5][fmt::format("team-{}", team)] = {1, 2, 3};
    }
    std::size_t bytes = 0;
    for (auto _ : state) {
        std::string text = closeWindow(5, {}, totals).toJson();
        bytes = text.size();
        benchmark::DoNotOptimize(text);
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(closeUsageWindow)->Arg(8)->Arg(100)->Arg(1000)->Unit(benchmark::kMicrosecond);

// One order through a zone's journal that has entries for state.range(0) endpoints.
void journalWrite(benchmark::State& state)
{
    OpIds ids;
    OrderJournal journal("zone", "node", ids, Millis(300));
    Authority authority{5, true};
    Instant now(Millis(1000));
    StoreOps read = journal.tick(now, authority);
    journal.onAnswer(now, {read[0].id, StoreStatus::NotFound, 0, {}, {}});
    std::uint64_t revision = 1;
    std::size_t bytes = 0;
    auto write = [&] {
        StoreOps ops = journal.tick(now, authority);
        if (ops.empty())
            return;
        bytes = ops[0].value.size();
        journal.onAnswer(now, {ops[0].id, StoreStatus::Ok, ++revision, {}, {}});
    };
    write();
    std::int64_t index = 0;
    auto order = [&] {
        journal.submit({fmt::format("engine-{}", index++ % state.range(0)), OrderKind::SetRole, "prefill"});
        write();
        for (const EndpointOrder& sent :
            journal.takeSends(now, authority, [](const std::string&) { return true; }))
            journal.onSendResult(now, sent.number, SendOutcome::Applied);
    };
    for (std::int64_t fill = 0; fill < state.range(0); ++fill)
        order();
    for (auto _ : state)
        order();
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(journalWrite)->Arg(5)->Arg(178)->Unit(benchmark::kMicrosecond);

// One digest of one of `range` peers, each with a load on 31 endpoints.
void peerLoadReport(benchmark::State& state)
{
    PeerLoad load(Millis(2000));
    std::vector<std::vector<EndpointLoad>> loads{makeDigest(31).loads, makeDigest(31).loads};
    loads[1][0].running += 1;
    for (std::int64_t peer = 0; peer < state.range(0); ++peer)
        load.onReport(Instant(Millis(0)), fmt::format("vm-{}", peer), loads[0]);
    std::size_t number = 0;
    for (auto _ : state)
        load.onReport(Instant(Millis(0)), "vm-0", loads[++number % 2]);
}
BENCHMARK(peerLoadReport)->Arg(8)->Arg(194)->Arg(999)->Unit(benchmark::kMicrosecond);

// The simple alternative: sums the loads of all peers again for each digest.
void peerLoadSumOfAll(benchmark::State& state)
{
    std::map<std::string, std::vector<EndpointLoad>> reports;
    for (std::int64_t peer = 0; peer < state.range(0); ++peer)
        reports[fmt::format("vm-{}", peer)] = makeDigest(31).loads;
    for (auto _ : state) {
        std::map<std::string, EndpointLoad> sums;
        for (const auto& [peer, loads] : reports) {
            for (const EndpointLoad& load : loads)
                sums[load.endpoint].running += load.running;
        }
        benchmark::DoNotOptimize(sums);
    }
}
BENCHMARK(peerLoadSumOfAll)->Arg(8)->Arg(194)->Arg(999)->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace ragwortwinch

int main(int argc, char** argv)
{
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
