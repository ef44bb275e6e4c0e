#include "ragwortwinch/fleet/order_sender.h"

#include "ragwortwinch/lease/lease_expiry_guard.h"
#include "ragwortwinch/net/reply_head_reader.h"

#include <curl/curl.h>

namespace ragwortwinch {

namespace {

curl_socket_t openGuardedSocket(void* guard, curlsocktype, curl_sockaddr* address)
{
    return static_cast<LeaseExpiryGuard*>(guard)->openSocket(
        address->family, address->socktype, address->protocol);
}

int closeGuardedSocket(void* guard, curl_socket_t socket)
{
    static_cast<LeaseExpiryGuard*>(guard)->closeSocket(socket);
    return 0;
}

// Called once connected, right before the request is sent.
int checkLease(void* guard, char*, char*, int, int)
{
    return static_cast<LeaseExpiryGuard*>(guard)->hasAuthority() ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

struct ReplyHead {
    ReplyHeadReader reader;
    HttpHeaders headers;
};

// Ends the send, whose outcome is then unknown, at the first line of a head that is invalid.
std::size_t checkHeadLine(char* data, std::size_t size, std::size_t count, void* self)
{
    ReplyHead* head = static_cast<ReplyHead*>(self);
    std::string_view line(data, size * count);
    return head->reader.onLine(line, head->headers).empty() ? line.size() : 0;
}

std::size_t discardBody(char*, std::size_t size, std::size_t count, void*) { return size * count; }

SendOutcome toOutcome(CURLcode code, long status)
{
    if (code != CURLE_OK)
        return SendOutcome::Unknown;
    if (status >= 200 && status < 300)
        return SendOutcome::Applied;
    return status >= 400 && status < 500 ? SendOutcome::Refused : SendOutcome::Unknown;
}

} // namespace

OrderSender::OrderSender(Millis sendBound)
    : sendBound_(sendBound)
    , thread_([this] { run(); })
{
}

OrderSender::~OrderSender()
{
    {
        std::lock_guard<std::mutex> lock(mutex_);
        isStopping_ = true;
    }
    wake_.notify_all();
    thread_.join();
}

void OrderSender::post(LeaseBoundRequest send, std::function<void(SendOutcome)> onDone)
{
    {
        std::lock_guard<std::mutex> lock(mutex_);
        tasks_.push_back({std::move(send), std::move(onDone)});
    }
    wake_.notify_one();
}

bool OrderSender::isIdle() const
{
    std::lock_guard<std::mutex> lock(mutex_);
    return tasks_.empty() && !isBusy_;
}

void OrderSender::run()
{
    LeaseExpiryGuard guard;
    std::unique_lock<std::mutex> lock(mutex_);
    while (true) {
        wake_.wait(lock, [this] { return isStopping_ || !tasks_.empty(); });
        if (isStopping_)
            return;
        Task task = std::move(tasks_.front());
        tasks_.pop_front();
        isBusy_ = true;
        lock.unlock();
        SendOutcome outcome = perform(guard, task.send);
        task.onDone(outcome);
        lock.lock();
        isBusy_ = false;
    }
}

SendOutcome OrderSender::perform(LeaseExpiryGuard& guard, const LeaseBoundRequest& send)
{
    SystemClock clock;
    LeaseExpiryGuard::Arming arming(guard, send.authorityEnd);
    if (clock.now() + sendBound_ > send.authorityEnd)
        return SendOutcome::Unknown;
    if (pausePoint_)
        pausePoint_();
    CURL* easy = curl_easy_init();
    curl_slist* headers = nullptr;
    for (const HttpHeaders::Field& field : send.headers.fields())
        headers = curl_slist_append(headers, (field.first + ": " + field.second).c_str());
    curl_easy_setopt(easy, CURLOPT_URL, send.url.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, send.body.data());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(send.body.size()));
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(sendBound_.count()));
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, openGuardedSocket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, &guard);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, closeGuardedSocket);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, &guard);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, checkLease);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &guard);
    ReplyHead head;
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, checkHeadLine);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &head);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, discardBody);
    CURLcode code = curl_easy_perform(easy);
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    curl_slist_free_all(headers);
    curl_easy_cleanup(easy);
    return toOutcome(code, status);
}

} // namespace ragwortwinch
