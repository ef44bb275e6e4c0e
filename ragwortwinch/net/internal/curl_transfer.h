// One call of the libcurl client: its handle, its options, and what its callbacks fill in.
#pragma once

#include "ragwortwinch/net/http_client.h"

#include <cstdint>
#include <curl/curl.h>
#include <functional>

namespace ragwortwinch::internal {

// Owns the curl handle and what its callbacks fill in. Lives on the client's thread.
struct Transfer {
    Transfer(std::uint64_t id, HttpCall call, std::function<void(HttpCallResult)> onDone)
        : id(id)
        , call(std::move(call))
        , onDone(std::move(onDone))
    {
    }
    ~Transfer()
    {
        curl_slist_free_all(headerList);
        if (easy)
            curl_easy_cleanup(easy);
    }
    Transfer(const Transfer&) = delete;
    Transfer& operator=(const Transfer&) = delete;

    std::uint64_t id;
    HttpCall call;
    std::function<void(HttpCallResult)> onDone;
    CURL* easy = nullptr;
    curl_slist* headerList = nullptr;
    HttpCallResult result;
    Instant lastActivity;
    bool headersDelivered = false;
    bool isPaused = false;
    bool wasCancelled = false;
    bool wasIdle = false;
    bool wasTooLarge = false;
};

// Sets the handle's options from the call.
void setTransferOptions(Transfer& transfer);

// Tells the call's owner of status and headers, once.
void deliverHeaders(Transfer& transfer);

// Says how a call ended.
CallEnd classifyEnd(const Transfer& transfer, CURLcode code, bool mayHaveBeenSent);

} // namespace ragwortwinch::internal
