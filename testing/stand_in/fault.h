// The fault that a stand-in simulates, set through its control route. The engine ignores lost_answer and
// delay_ms, the platform wrong_id.
//
//     POST /control/fault {"mode": "silent"}
//
//     if (fault_.is(FaultMode::Silent)) fault_.holdOpen(responder);
#pragma once

#include "ragwortwinch/base/json.h"
#include "ragwortwinch/base/name_table.h"
#include "ragwortwinch/net/http_server.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <mutex>
#include <unistd.h>
#include <vector>

namespace ragwortwinch::stand_in {

enum class FaultMode {
    None,
    // Refuses work; control routes, load reports and orders to engines are still handled.
    Outage,
    // Accepts requests and neither carries them out nor answers; control routes and load reports of plain
    // services are still handled.
    Silent,
    // Carries requests out and never answers; the platform still answers reads.
    LostAnswer,
    // Answers with the id of another request.
    WrongId,
    // Ends the process.
    Crash,
};

inline constexpr NameTable<FaultMode, 6> faultModeNames{{{
    {FaultMode::None, "none"},
    {FaultMode::Outage, "outage"},
    {FaultMode::Silent, "silent"},
    {FaultMode::LostAnswer, "lost_answer"},
    {FaultMode::WrongId, "wrong_id"},
    {FaultMode::Crash, "crash"},
}}};

// Thread-safe.
class Fault {
public:
    FaultMode mode() const { return mode_.load(); }
    bool is(FaultMode mode) const { return mode_.load() == mode; }
    int delayMillis() const { return delayMillis_.load(); }

    // Reads {"mode": ..., "delay_ms": ...}; an unknown mode counts as None. Crash ends the process with exit
    // code 1. None closes the requests that are held open.
    void set(const std::string& text)
    {
        Json body = parseJsonOrDiscard(text);
        mode_.store(faultModeNames.parse(stringMember(body, "mode")).value_or(FaultMode::None));
        delayMillis_.store(static_cast<int>(integerMember(body, "delay_ms")));
        if (is(FaultMode::Crash))
            _exit(1);
        std::lock_guard<std::mutex> lock(mutex_);
        if (is(FaultMode::None))
            heldOpen_.clear();
    }
    // Keeps the request open without an answer.
    void holdOpen(std::shared_ptr<HttpResponder> responder)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        heldOpen_.push_back(std::move(responder));
    }
    // The number of requests held open, and of those among them whose caller has disconnected.
    std::size_t held() const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return heldOpen_.size();
    }
    std::size_t abandoned() const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return static_cast<std::size_t>(std::count_if(heldOpen_.begin(), heldOpen_.end(),
            [](const std::shared_ptr<HttpResponder>& responder) { return responder->isClosed(); }));
    }

private:
    std::atomic<FaultMode> mode_{FaultMode::None};
    std::atomic<int> delayMillis_{0};
    mutable std::mutex mutex_;
    std::vector<std::shared_ptr<HttpResponder>> heldOpen_;
};

} // namespace ragwortwinch::stand_in
