// The platform's store and its interface for duties, as PROTOCOL.md describes them, in one process with the
// case.
#pragma once

#include "review/stand_in-2/http.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

namespace review {

using Json = nlohmann::json;

inline std::string encodedBase64(const std::string& bytes)
{
    static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        unsigned value = 0;
        std::size_t count = std::min<std::size_t>(3, bytes.size() - index);
        for (std::size_t part = 0; part < 3; ++part)
            value = value << 8 | (part < count ? static_cast<unsigned char>(bytes[index + part]) : 0U);
        for (std::size_t part = 0; part < 4; ++part)
            text += part <= count ? digits[value >> (18 - 6 * part) & 63] : '=';
    }
    return text;
}

inline std::string decodedBase64(const std::string& text)
{
    std::string bytes;
    unsigned value = 0;
    int bits = 0;
    for (char character : text) {
        std::size_t digit
            = std::string_view("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/")
                  .find(character);
        if (digit == std::string_view::npos)
            break;
        value = value << 6 | static_cast<unsigned>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(value >> bits & 255);
        }
    }
    return bytes;
}

// One call to the interface for duties.
struct DutyCall {
    Clock::time_point at;
    std::string path;
    std::string holder;
    std::uint64_t fence = 0;
    Json body;
};

class Platform {
public:
    struct Answer {
        int status = 200;
        Json body = Json::object();
        // The channel is reset and nothing is answered.
        bool isLost = false;
    };
    // Sees each transaction before it is carried out. Returns true if it is not carried out now and gets no
    // answer; the hook may carry it out later with `runLater`.
    using TransactionHook = std::function<bool(const Json& body)>;
    // Sees each lease that was granted, before the answer. Returns true if the answer is lost.
    using LeaseHook = std::function<bool()>;

    Platform()
        : listener_([this](Channel channel) { serve(std::move(channel)); })
    {
        std::thread([this] {
            while (true) {
                sleepFor(Millis(5));
                std::lock_guard<std::mutex> lock(mutex_);
                expire();
            }
        }).detach();
    }

    std::string address() const { return listener_.address(); }
    void setTransactionHook(TransactionHook hook)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        transactionHook_ = std::move(hook);
    }
    void setLeaseHook(LeaseHook hook)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        leaseHook_ = std::move(hook);
    }

    // Asked for each watch: after which time it is cut if it still waits then, or nullopt.
    void setWatchCut(std::function<std::optional<Millis>()> watchCut)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        watchCut_ = std::move(watchCut);
    }

    // What the operator and the workers write.
    void put(const std::string& key, const Json& value)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        write(key, encodedBase64(value.dump()), 0);
        changed_.notify_all();
    }
    void remove(const std::string& key)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        erase(key);
        changed_.notify_all();
    }
    std::optional<std::string> value(const std::string& key)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        std::map<std::string, Json>::const_iterator found = items_.find(key);
        if (found == items_.end())
            return std::nullopt;
        return decodedBase64(found->second["value"].get<std::string>());
    }
    std::vector<DutyCall> dutyCalls()
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return dutyCalls_;
    }
    // For hooks, which run with the store's lock.
    int runLater(const Json& body)
    {
        int status = transact(body).status;
        changed_.notify_all();
        return status;
    }

private:
    struct Lease {
        Millis ttl;
        Clock::time_point until;
    };

    void serve(Channel channel)
    {
        while (std::optional<Message> request = channel.read(Millis(60000))) {
            Answer answer = handle(*request);
            if (answer.isLost) {
                channel.reset();
                return;
            }
            sleepFor(Millis(answerMillis));
            std::string body = answer.body.dump();
            if (!channel.send("HTTP/1.1 " + std::to_string(answer.status)
                    + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
                    + "\r\n\r\n" + body))
                return;
        }
    }

    Answer handle(const Message& request)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        std::string target = request.target();
        std::string path = target.substr(0, target.find('?'));
        expire();
        if (path == "/api/kv-key")
            return readItem(queryValue(target, "key"));
        if (path == "/api/kv-range")
            return readRange(queryValue(target, "prefix"), queryValue(target, "after"));
        if (path == "/api/kv-watch")
            return watch(lock, target);
        Json body = Json::parse(request.body, nullptr, false);
        if (path == "/api/kv-txn") {
            if (transactionHook_ && transactionHook_(body))
                return {200, {}, true};
            Answer answer = transact(body);
            changed_.notify_all();
            return answer;
        }
        if (path == "/api/kv-lease") {
            Millis ttl(std::max<std::int64_t>(1000, body.value("ttl_ms", 1000)));
            leases_[++lastLease_] = {ttl, Clock::now() + ttl};
            Answer answer{200, {{"lease", lastLease_}, {"ttl_ms", ttl.count()}}};
            answer.isLost = leaseHook_ && leaseHook_();
            return answer;
        }
        if (path.starts_with("/api/kv-keep/")) {
            std::map<std::uint64_t, Lease>::iterator found = leases_.find(std::stoull(path.substr(13)));
            if (found == leases_.end())
                return {404};
            found->second.until = Clock::now() + found->second.ttl;
            return {200, {{"ttl_ms", found->second.ttl.count()}}};
        }
        if (path.starts_with("/api/kv-lease-end/")) {
            endLease(std::stoull(path.substr(18)));
            changed_.notify_all();
            return {200};
        }
        if (path == "/usage" || path == "/scale") {
            dutyCalls_.push_back({Clock::now(), path, request.field("Ragwortwinch-Duty-Holder"),
                std::stoull("0" + request.field("Ragwortwinch-Fencing-Token")), body});
            return {200};
        }
        return {404};
    }

    Answer readItem(const std::string& key)
    {
        std::map<std::string, Json>::const_iterator found = items_.find(key);
        if (found == items_.end())
            return {404};
        Json item = found->second;
        item["at"] = revision_;
        return {200, item};
    }

    Answer readRange(const std::string& prefix, const std::string& after)
    {
        Json list = Json::array();
        for (const auto& [key, item] : items_) {
            if (key.starts_with(prefix) && (after.empty() || key > after))
                list.push_back(item);
        }
        return {200, {{"items", list}, {"has_more", false}, {"at", revision_}}};
    }

    Answer watch(std::unique_lock<std::mutex>& lock, const std::string& target)
    {
        std::string prefix = queryValue(target, "prefix");
        std::uint64_t after = std::stoull(queryValue(target, "after"));
        Clock::time_point end = Clock::now() + Millis(std::stoll(queryValue(target, "wait_ms")));
        std::optional<Millis> cut = watchCut_ ? watchCut_() : std::nullopt;
        Clock::time_point cutAt = cut ? Clock::now() + *cut : Clock::time_point::max();
        Json events = Json::array();
        while (true) {
            for (const Json& event : history_) {
                if (event["revision"].get<std::uint64_t>() > after
                    && event["key"].get<std::string>().starts_with(prefix))
                    events.push_back(event);
            }
            if (!events.empty() || Clock::now() >= end)
                return {200, {{"events", events}, {"at", revision_}}};
            if (Clock::now() >= cutAt)
                return {200, {}, true};
            changed_.wait_until(lock, std::min(end, cutAt));
        }
    }

    Answer transact(const Json& body)
    {
        Json current = Json::array();
        bool holds = true;
        for (const Json& row : body["precondition"]) {
            std::map<std::string, Json>::const_iterator found = items_.find(row["key"].get<std::string>());
            std::uint64_t revision
                = found == items_.end() ? 0 : found->second["revision"].get<std::uint64_t>();
            holds = holds && revision == row["revision"].get<std::uint64_t>();
            if (found != items_.end())
                current.push_back(found->second);
        }
        if (!holds)
            return {412, {{"items", current}}};
        for (const Json& item : body["puts"]) {
            std::uint64_t lease = item.value("lease", std::uint64_t(0));
            if (lease != 0 && !leases_.contains(lease))
                return {404};
        }
        for (const Json& item : body["puts"])
            write(item["key"].get<std::string>(), item["value"].get<std::string>(),
                item.value("lease", std::uint64_t(0)));
        for (const Json& key : body["remove"])
            erase(key.get<std::string>());
        return {200, {{"revision", revision_}}};
    }

    void write(const std::string& key, const std::string& encoded, std::uint64_t lease)
    {
        std::map<std::string, Json>::const_iterator found = items_.find(key);
        ++revision_;
        Json created = found == items_.end() ? Json(revision_) : found->second["created"];
        items_[key] = {{"key", key}, {"value", encoded}, {"revision", revision_}, {"created", created},
            {"lease", lease}};
        history_.push_back(items_[key]);
        forgetHistory();
    }

    void erase(const std::string& key)
    {
        if (items_.erase(key) == 0)
            return;
        history_.push_back({{"key", key}, {"revision", ++revision_}, {"deleted", true}});
        forgetHistory();
    }

    // Keeps more than the 20 s that the pages promise at the load of a case.
    void forgetHistory()
    {
        while (history_.size() > 20000)
            history_.pop_front();
    }

    void expire()
    {
        std::vector<std::uint64_t> ended;
        for (const auto& [id, lease] : leases_) {
            if (Clock::now() >= lease.until)
                ended.push_back(id);
        }
        for (std::uint64_t id : ended)
            endLease(id);
        if (!ended.empty())
            changed_.notify_all();
    }

    void endLease(std::uint64_t id)
    {
        leases_.erase(id);
        std::vector<std::string> keys;
        for (const auto& [key, item] : items_) {
            if (item["lease"].get<std::uint64_t>() == id)
                keys.push_back(key);
        }
        for (const std::string& key : keys)
            erase(key);
    }

    // The store takes 4 ms for an answer.
    static constexpr int answerMillis = 4;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 7;
    std::uint64_t lastLease_ = 100;
    std::map<std::string, Json> items_;
    std::deque<Json> history_;
    std::map<std::uint64_t, Lease> leases_;
    std::vector<DutyCall> dutyCalls_;
    TransactionHook transactionHook_;
    LeaseHook leaseHook_;
    std::function<std::optional<Millis>()> watchCut_;
    Listener listener_;
};

} // namespace review
