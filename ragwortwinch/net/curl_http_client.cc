#include "ragwortwinch/net/http_client.h"

#include "ragwortwinch/net/internal/curl_transfer.h"

#include <algorithm>
#include <array>
#include <curl/curl.h>
#include <deque>
#include <future>
#include <mutex>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <thread>
#include <unistd.h>
#include <unordered_map>

namespace ragwortwinch {

namespace {

constexpr int maxEventsPerWait = 256;
constexpr Millis idleScanInterval{100};

class CurlHttpClient final : public HttpClient, public std::enable_shared_from_this<CurlHttpClient> {
public:
    CurlHttpClient()
        : multi_(curl_multi_init())
        , epoll_(epoll_create1(EPOLL_CLOEXEC))
        , wakeEvent_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {
        curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &CurlHttpClient::onSocketChange);
        curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &CurlHttpClient::onTimerChange);
        curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, 256L);
        epoll_event event{};
        event.events = EPOLLIN;
        event.data.fd = wakeEvent_;
        epoll_ctl(epoll_, EPOLL_CTL_ADD, wakeEvent_, &event);
        thread_ = std::thread([this] { run(); });
    }

    ~CurlHttpClient() override
    {
        post([this] { isStopping_ = true; });
        thread_.join();
        curl_multi_cleanup(multi_);
        close(wakeEvent_);
        close(epoll_);
    }

    std::shared_ptr<HttpCallHandle> start(HttpCall call, std::function<void(HttpCallResult)> onDone) override;

    void post(std::function<void()> task)
    {
        {
            std::lock_guard<std::mutex> lock(mutex_);
            tasks_.push_back(std::move(task));
        }
        std::uint64_t one = 1;
        static_cast<void>(!write(wakeEvent_, &one, sizeof(one)));
    }

    // Called on the client's thread only, as is `resume`.
    void cancel(std::uint64_t id)
    {
        auto found = transfers_.find(id);
        if (found == transfers_.end())
            return;
        found->second->wasCancelled = true;
        finish(*found->second, CURLE_ABORTED_BY_CALLBACK);
    }

    void resume(std::uint64_t id)
    {
        auto found = transfers_.find(id);
        if (found == transfers_.end() || !found->second->isPaused)
            return;
        found->second->isPaused = false;
        found->second->lastActivity = clock_.now();
        curl_easy_pause(found->second->easy, CURLPAUSE_CONT);
    }

private:
    static int onSocketChange(CURL*, curl_socket_t socket, int what, void* self, void* known)
    {
        CurlHttpClient* client = static_cast<CurlHttpClient*>(self);
        if (what == CURL_POLL_REMOVE) {
            epoll_ctl(client->epoll_, EPOLL_CTL_DEL, socket, nullptr);
            curl_multi_assign(client->multi_, socket, nullptr);
            return 0;
        }
        epoll_event event{};
        event.events = (what & CURL_POLL_IN ? EPOLLIN : 0U) | (what & CURL_POLL_OUT ? EPOLLOUT : 0U);
        event.data.fd = socket;
        // `known` may be outdated, since epoll drops a descriptor that is closed.
        if (epoll_ctl(client->epoll_, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, socket, &event) != 0)
            epoll_ctl(client->epoll_, known ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, socket, &event);
        curl_multi_assign(client->multi_, socket, client);
        return 0;
    }

    static int onTimerChange(CURLM*, long timeout, void* self)
    {
        CurlHttpClient* client = static_cast<CurlHttpClient*>(self);
        client->hasTimer_ = timeout >= 0;
        client->timerExpiry_ = client->clock_.now() + Millis(std::max(0L, timeout));
        return 0;
    }

    void begin(std::unique_ptr<internal::Transfer> transfer)
    {
        internal::Transfer& added = *transfer;
        added.easy = curl_easy_init();
        added.lastActivity = clock_.now();
        internal::setTransferOptions(added);
        transfers_.emplace(added.id, std::move(transfer));
        curl_multi_add_handle(multi_, added.easy);
    }

    void finish(internal::Transfer& transfer, CURLcode code)
    {
        long requestBytes = 0;
        curl_easy_getinfo(transfer.easy, CURLINFO_REQUEST_SIZE, &requestBytes);
        if (code == CURLE_OK)
            internal::deliverHeaders(transfer);
        HttpCallResult& result = transfer.result;
        result.mayHaveBeenSent = requestBytes > 0;
        result.end = internal::classifyEnd(transfer, code, result.mayHaveBeenSent);
        if (transfer.wasTooLarge)
            result.detail = "the response exceeds the size limit";
        else if (!transfer.problem.empty())
            result.detail = transfer.problem;
        else if (code != CURLE_OK)
            result.detail
                = transfer.wasIdle ? "no data arrived before the timeout" : curl_easy_strerror(code);
        curl_multi_remove_handle(multi_, transfer.easy);
        auto found = transfers_.find(transfer.id);
        std::unique_ptr<internal::Transfer> owned = std::move(found->second);
        transfers_.erase(found);
        owned->onDone(std::move(owned->result));
    }

    void collectFinished()
    {
        int left = 0;
        while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            internal::Transfer* transfer = nullptr;
            CURLcode code = message->data.result;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
            finish(*transfer, code);
        }
    }

    void failIdleTransfers(Instant now)
    {
        if (now < nextIdleScan_)
            return;
        nextIdleScan_ = now + idleScanInterval;
        std::vector<internal::Transfer*> idle;
        for (const auto& entry : transfers_) {
            internal::Transfer& transfer = *entry.second;
            Millis bound
                = transfer.headersDelivered ? transfer.call.idleTimeout : transfer.call.firstByteTimeout;
            if (bound.count() > 0 && !transfer.isPaused && now - transfer.lastActivity > bound)
                idle.push_back(&transfer);
        }
        for (internal::Transfer* transfer : idle) {
            transfer->wasIdle = true;
            finish(*transfer, CURLE_OPERATION_TIMEDOUT);
        }
    }

    void runTasks()
    {
        std::deque<std::function<void()>> tasks;
        {
            std::lock_guard<std::mutex> lock(mutex_);
            tasks.swap(tasks_);
        }
        for (const std::function<void()>& task : tasks)
            task();
    }

    int waitMillis() const
    {
        Millis wait = idleScanInterval;
        if (hasTimer_)
            wait = std::clamp(
                std::chrono::duration_cast<Millis>(timerExpiry_ - clock_.now()), Millis(0), idleScanInterval);
        return static_cast<int>(wait.count());
    }

    void run()
    {
        std::array<epoll_event, maxEventsPerWait> events{};
        int running = 0;
        while (!isStopping_) {
            int count = epoll_wait(epoll_, events.data(), maxEventsPerWait, waitMillis());
            for (int index = 0; index < count; ++index) {
                const epoll_event& event = events[static_cast<std::size_t>(index)];
                if (event.data.fd == wakeEvent_) {
                    std::uint64_t drained = 0;
                    static_cast<void>(!read(wakeEvent_, &drained, sizeof(drained)));
                    continue;
                }
                int actions = (event.events & (EPOLLIN | EPOLLHUP) ? CURL_CSELECT_IN : 0)
                    | (event.events & EPOLLOUT ? CURL_CSELECT_OUT : 0)
                    | (event.events & EPOLLERR ? CURL_CSELECT_ERR : 0);
                curl_multi_socket_action(multi_, event.data.fd, actions, &running);
            }
            if (hasTimer_ && clock_.now() >= timerExpiry_) {
                hasTimer_ = false;
                curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0, &running);
            }
            runTasks();
            collectFinished();
            failIdleTransfers(clock_.now());
        }
        runTasks();
        while (!transfers_.empty())
            cancel(transfers_.begin()->first);
    }

    SystemClock clock_;
    CURLM* multi_;
    int epoll_;
    int wakeEvent_;
    bool hasTimer_ = false;
    bool isStopping_ = false;
    Instant timerExpiry_;
    Instant nextIdleScan_;
    std::uint64_t nextId_ = 1;
    std::unordered_map<std::uint64_t, std::unique_ptr<internal::Transfer>> transfers_;
    std::mutex mutex_;
    std::deque<std::function<void()>> tasks_;
    std::thread thread_;
};

class CurlCallHandle final : public HttpCallHandle {
public:
    CurlCallHandle(std::weak_ptr<CurlHttpClient> client, std::uint64_t id)
        : client_(std::move(client))
        , id_(id)
    {
    }
    void cancel() override
    {
        if (std::shared_ptr<CurlHttpClient> client = client_.lock())
            client->post([raw = client.get(), id = id_] { raw->cancel(id); });
    }
    void resume() override
    {
        if (std::shared_ptr<CurlHttpClient> client = client_.lock())
            client->post([raw = client.get(), id = id_] { raw->resume(id); });
    }

private:
    std::weak_ptr<CurlHttpClient> client_;
    std::uint64_t id_;
};

std::shared_ptr<HttpCallHandle> CurlHttpClient::start(
    HttpCall call, std::function<void(HttpCallResult)> onDone)
{
    std::uint64_t id = 0;
    {
        std::lock_guard<std::mutex> lock(mutex_);
        id = nextId_++;
    }
    auto transfer = std::make_shared<std::unique_ptr<internal::Transfer>>(
        std::make_unique<internal::Transfer>(id, std::move(call), std::move(onDone)));
    post([this, transfer] { begin(std::move(*transfer)); });
    return std::make_shared<CurlCallHandle>(weak_from_this(), id);
}

// Owns the shared client, so that handles may outlive it. The destructor waits until no handle holds a
// temporary reference, so that a handle never destroys the client.
class OwningHttpClient final : public HttpClient {
public:
    OwningHttpClient()
        : client_(std::make_shared<CurlHttpClient>())
    {
    }
    ~OwningHttpClient() override
    {
        while (client_.use_count() > 1)
            std::this_thread::yield();
    }
    std::shared_ptr<HttpCallHandle> start(HttpCall call, std::function<void(HttpCallResult)> onDone) override
    {
        return client_->start(std::move(call), std::move(onDone));
    }

private:
    std::shared_ptr<CurlHttpClient> client_;
};

} // namespace

std::unique_ptr<HttpClient> makeCurlHttpClient()
{
    static const CURLcode initialized = curl_global_init(CURL_GLOBAL_ALL);
    static_cast<void>(initialized);
    return std::make_unique<OwningHttpClient>();
}

HttpCallResult callAndWait(HttpClient& client, HttpCall call)
{
    std::promise<HttpCallResult> promise;
    std::future<HttpCallResult> future = promise.get_future();
    client.start(
        std::move(call), [&promise](HttpCallResult result) { promise.set_value(std::move(result)); });
    return future.get();
}

} // namespace ragwortwinch
