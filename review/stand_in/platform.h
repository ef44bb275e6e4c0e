// Stand-in for the platform: its metadata store, as the protocol page tells it, and the calls of duties.
#pragma once

#include "review/stand_in/record.h"
#include "review/stand_in/server.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace review {

using Json = nlohmann::json;

inline std::string encodeBase64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        std::uint32_t group = 0;
        std::size_t count = std::min<std::size_t>(3, bytes.size() - index);
        for (std::size_t offset = 0; offset < 3; ++offset)
            group = group << 8 | (offset < count ? static_cast<unsigned char>(bytes[index + offset]) : 0);
        for (std::size_t digit = 0; digit < 4; ++digit)
            text += digit <= count ? digits[group >> (18 - 6 * digit) & 63] : '=';
    }
    return text;
}

inline std::string decodeBase64(const std::string& text)
{
    static const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string bytes;
    std::uint32_t group = 0;
    int bits = 0;
    for (char letter : text) {
        std::size_t digit = digits.find(letter);
        if (digit == std::string::npos)
            break;
        group = group << 6 | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255);
        }
    }
    return bytes;
}

inline std::string queryValue(const std::string& target, const std::string& name)
{
    std::size_t start = target.find('?');
    while (start != std::string::npos) {
        std::size_t end = target.find('&', start + 1);
        std::string pair = target.substr(start + 1, end == std::string::npos ? end : end - start - 1);
        if (pair.rfind(name + "=", 0) == 0) {
            std::string value;
            for (std::size_t index = name.size() + 1; index < pair.size(); ++index) {
                if (pair[index] == '%' && index + 2 < pair.size()) {
                    value += static_cast<char>(std::strtol(pair.substr(index + 1, 2).c_str(), nullptr, 16));
                    index += 2;
                } else
                    value += pair[index];
            }
            return value;
        }
        start = end;
    }
    return {};
}

inline std::string answerText(int status, const std::string& body, const std::string& fields = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " Answer\r\nContent-Type: application/json\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A call of a duty, as the platform saw it.
struct DutyCall {
    std::int64_t atMillis = 0;
    std::string path;
    std::string holder;
    std::uint64_t fence = 0;
    Json body;
};

class Platform {
public:
    static constexpr std::size_t valueBytes = 1048576;

    explicit Platform(Record& record)
        : record_(record)
        , store_([this](Socket& socket, const HttpMessage& request) { return answerStore(socket, request); })
        , duties_([this](Socket& socket, const HttpMessage& request) { return answerDuty(socket, request); })
    {
    }

    std::uint16_t storePort() const { return store_.port(); }
    std::uint16_t dutyPort() const { return duties_.port(); }

    // Writes as the operator or a worker.
    void put(const std::string& key, const std::string& value)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        write(key, value, 0);
        changed_.notify_all();
    }
    void remove(const std::string& key)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        erase(key);
        changed_.notify_all();
    }
    std::vector<DutyCall> dutyCalls() const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return calls_;
    }
    std::map<std::string, std::size_t> valueSizes(const std::string& prefix) const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        std::map<std::string, std::size_t> sizes;
        for (const auto& [key, item] : items_) {
            if (key.rfind(prefix, 0) == 0)
                sizes[key] = item.value.size();
        }
        return sizes;
    }
    // Number of writes that were refused because their value was too large.
    int refusedWrites() const
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return refusedWrites_;
    }
    void stop()
    {
        {
            std::lock_guard<std::mutex> lock(mutex_);
            isStopping_ = true;
        }
        changed_.notify_all();
        store_.stop();
        duties_.stop();
    }

private:
    static constexpr std::size_t pageItems = 500;
    static constexpr std::size_t maxHistory = 20000;

    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Lease {
        Millis ttl{0};
        SteadyClock::time_point end;
    };
    struct Event {
        std::string key;
        std::uint64_t revision = 0;
        bool isRemoval = false;
        Item item;
    };

    void write(const std::string& key, const std::string& value, std::uint64_t lease)
    {
        Item& item = items_[key];
        item.value = value;
        item.revision = ++revision_;
        item.created = item.created ? item.created : revision_;
        item.lease = lease;
        addEvent({key, revision_, false, item});
    }
    void erase(const std::string& key)
    {
        if (items_.erase(key) > 0)
            addEvent({key, ++revision_, true, {}});
    }
    void addEvent(Event event)
    {
        history_.push_back(std::move(event));
        if (history_.size() > maxHistory) {
            lostThrough_ = history_.front().revision;
            history_.pop_front();
        }
    }
    void expireLeases()
    {
        for (auto lease = leases_.begin(); lease != leases_.end();) {
            if (lease->second.end > SteadyClock::now()) {
                ++lease;
                continue;
            }
            endLease(lease->first);
            lease = leases_.erase(lease);
        }
    }
    void endLease(std::uint64_t lease)
    {
        std::vector<std::string> keys;
        for (const auto& [key, item] : items_) {
            if (item.lease == lease)
                keys.push_back(key);
        }
        for (const std::string& key : keys)
            erase(key);
        if (!keys.empty())
            changed_.notify_all();
    }

    static Json toJson(const std::string& key, const Item& item)
    {
        return {{"key", key}, {"value", encodeBase64(item.value)}, {"revision", item.revision},
            {"created", item.created}, {"lease", item.lease}};
    }

    bool answerStore(Socket& socket, const HttpMessage& request)
    {
        std::string target = request.target();
        std::string path = target.substr(0, target.find('?'));
        int status = 200;
        Json body = Json::object();
        std::unique_lock<std::mutex> lock(mutex_);
        expireLeases();
        if (path == "/api/kv-key")
            status = readKey(queryValue(target, "key"), body);
        else if (path == "/api/kv-range")
            readRange(queryValue(target, "prefix"), queryValue(target, "after"), body);
        else if (path == "/api/kv-watch")
            status = watch(lock, target, body);
        else if (path == "/api/kv-txn")
            status = transact(Json::parse(request.body, nullptr, false), body);
        else if (path == "/api/kv-lease") {
            std::int64_t ttl = Json::parse(request.body, nullptr, false).value("ttl_ms", std::int64_t(0));
            ttl = std::clamp<std::int64_t>(ttl, 1000, 600000);
            leases_[++lastLease_] = {Millis(ttl), SteadyClock::now() + Millis(ttl)};
            body = {{"lease", lastLease_}, {"ttl_ms", ttl}};
        } else if (path.rfind("/api/kv-keep/", 0) == 0)
            status = keep(std::strtoull(path.c_str() + 13, nullptr, 10), body);
        else if (path.rfind("/api/kv-lease-end/", 0) == 0) {
            std::uint64_t lease = std::strtoull(path.c_str() + 18, nullptr, 10);
            status = leases_.erase(lease) > 0 ? 200 : 404;
            endLease(lease);
        } else
            status = 404;
        lock.unlock();
        return socket.send(answerText(status, body.dump(), "Store-Era: 1\r\n"));
    }

    int readKey(const std::string& key, Json& body)
    {
        auto found = items_.find(key);
        if (found == items_.end())
            return 404;
        body = toJson(key, found->second);
        body["at"] = revision_;
        return 200;
    }

    void readRange(const std::string& prefix, const std::string& after, Json& body)
    {
        body = {{"items", Json::array()}, {"has_more", false}, {"at", revision_}};
        std::size_t bytes = 0;
        for (const auto& [key, item] : items_) {
            if (key.rfind(prefix, 0) != 0 || (!after.empty() && key <= after))
                continue;
            if (body["items"].size() == pageItems || bytes > valueBytes) {
                body["has_more"] = true;
                return;
            }
            bytes += item.value.size();
            body["items"].push_back(toJson(key, item));
        }
    }

    int watch(std::unique_lock<std::mutex>& lock, const std::string& target, Json& body)
    {
        std::string prefix = queryValue(target, "prefix");
        std::uint64_t after = std::strtoull(queryValue(target, "after").c_str(), nullptr, 10);
        SteadyClock::time_point until
            = SteadyClock::now() + Millis(std::atoi(queryValue(target, "wait_ms").c_str()));
        if (after < lostThrough_ || after > revision_)
            return 410;
        while (true) {
            body = {{"events", Json::array()}};
            for (const Event& event : history_) {
                if (event.revision <= after || event.key.rfind(prefix, 0) != 0)
                    continue;
                if (event.isRemoval)
                    body["events"].push_back(
                        {{"key", event.key}, {"revision", event.revision}, {"deleted", true}});
                else
                    body["events"].push_back(toJson(event.key, event.item));
            }
            body["at"] = revision_;
            if (!body["events"].empty() || SteadyClock::now() >= until || isStopping_)
                return 200;
            // Leases end while nobody calls.
            changed_.wait_until(lock, std::min(until, SteadyClock::now() + Millis(100)));
            expireLeases();
        }
    }

    int transact(const Json& change, Json& body)
    {
        if (!change.is_object())
            return 400;
        body = {{"items", Json::array()}};
        bool isMet = true;
        for (const Json& row : change.value("precondition", Json::array())) {
            std::string key = row.value("key", std::string());
            auto found = items_.find(key);
            std::uint64_t revision = found == items_.end() ? 0 : found->second.revision;
            isMet = isMet && revision == row.value("revision", std::uint64_t(0));
            if (found != items_.end())
                body["items"].push_back(toJson(key, found->second));
        }
        if (!isMet)
            return 412;
        for (const Json& put : change.value("puts", Json::array())) {
            std::uint64_t lease = put.value("lease", std::uint64_t(0));
            if (lease != 0 && leases_.count(lease) == 0)
                return 404;
            if (decodeBase64(put.value("value", std::string())).size() > valueBytes) {
                ++refusedWrites_;
                record_.add("store refuses key=%s: its value has more than %zu bytes",
                    put.value("key", std::string()).c_str(), valueBytes);
                return 413;
            }
        }
        for (const Json& put : change.value("puts", Json::array()))
            write(put.value("key", std::string()), decodeBase64(put.value("value", std::string())),
                put.value("lease", std::uint64_t(0)));
        for (const Json& key : change.value("remove", Json::array()))
            erase(key.get<std::string>());
        body = {{"revision", revision_}};
        changed_.notify_all();
        return 200;
    }

    int keep(std::uint64_t lease, Json& body)
    {
        auto found = leases_.find(lease);
        if (found == leases_.end())
            return 404;
        found->second.end = SteadyClock::now() + found->second.ttl;
        body = {{"ttl_ms", found->second.ttl.count()}};
        return 200;
    }

    bool answerDuty(Socket& socket, const HttpMessage& request)
    {
        DutyCall call;
        call.atMillis = record_.millis();
        call.path = request.target();
        call.holder = request.field("Ragwortwinch-Duty-Holder");
        call.fence = std::strtoull(request.field("Ragwortwinch-Fencing-Token").c_str(), nullptr, 10);
        call.body = Json::parse(request.body, nullptr, false);
        record_.add("duty call %s holder=%s fence=%llu body=%.200s", call.path.c_str(), call.holder.c_str(),
            static_cast<unsigned long long>(call.fence), request.body.c_str());
        {
            std::lock_guard<std::mutex> lock(mutex_);
            calls_.push_back(std::move(call));
        }
        return socket.send(answerText(200, "{}"));
    }

    Record& record_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 10;
    std::uint64_t lastLease_ = 70000;
    std::uint64_t lostThrough_ = 0;
    int refusedWrites_ = 0;
    bool isStopping_ = false;
    std::map<std::string, Item> items_;
    std::map<std::uint64_t, Lease> leases_;
    std::deque<Event> history_;
    std::vector<DutyCall> calls_;
    Server store_;
    Server duties_;
};

} // namespace review
