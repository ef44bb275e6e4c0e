#include "ragwortwinch/net/internal/curl_transfer.h"

namespace ragwortwinch::internal {

void deliverHeaders(Transfer& transfer)
{
    if (transfer.headersDelivered)
        return;
    transfer.headersDelivered = true;
    long status = 0;
    curl_easy_getinfo(transfer.easy, CURLINFO_RESPONSE_CODE, &status);
    transfer.result.status = static_cast<int>(status);
    if (transfer.call.onHeaders)
        transfer.call.onHeaders(transfer.result.status, transfer.result.headers);
}

namespace {

std::size_t onHeader(char* data, std::size_t size, std::size_t count, void* self)
{
    Transfer* transfer = static_cast<Transfer*>(self);
    std::string_view line(data, size * count);
    transfer->lastActivity = SystemClock().now();
    transfer->problem = transfer->headReader.onLine(line, transfer->result.headers);
    // Any other number ends the call.
    return transfer->problem.empty() ? line.size() : 0;
}

std::size_t onBody(char* data, std::size_t size, std::size_t count, void* self)
{
    Transfer* transfer = static_cast<Transfer*>(self);
    std::size_t length = size * count;
    transfer->lastActivity = SystemClock().now();
    deliverHeaders(*transfer);
    if (!transfer->call.onData) {
        if (transfer->result.body.size() + length > transfer->call.maxResponseBytes) {
            transfer->wasTooLarge = true;
            return 0;
        }
        transfer->result.body.append(data, length);
        return length;
    }
    switch (transfer->call.onData(std::string_view(data, length))) {
    case StreamFlow::Continue:
        return length;
    case StreamFlow::Pause:
        transfer->isPaused = true;
        return CURL_WRITEFUNC_PAUSE;
    case StreamFlow::Cancel:
        transfer->wasCancelled = true;
        return 0;
    }
    return 0;
}

} // namespace

void setTransferOptions(Transfer& transfer)
{
    CURL* easy = transfer.easy;
    HttpCall& call = transfer.call;
    curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(call.connectTimeout.count()));
    if (call.totalTimeout.count() > 0)
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(call.totalTimeout.count()));
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
    }
    if (call.freshConnection) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    for (const HttpHeaders::Field& field : call.headers.fields())
        transfer.headerList
            = curl_slist_append(transfer.headerList, (field.first + ": " + field.second).c_str());
    // Keeps libcurl from waiting for "100 Continue" before it sends a body.
    transfer.headerList = curl_slist_append(transfer.headerList, "Expect:");
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headerList);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
}

CallEnd classifyEnd(const Transfer& transfer, CURLcode code, bool mayHaveBeenSent)
{
    if (transfer.wasCancelled)
        return CallEnd::Cancelled;
    if (transfer.wasIdle)
        return CallEnd::TimedOut;
    if (code == CURLE_OK)
        return CallEnd::Complete;
    if (!mayHaveBeenSent)
        return CallEnd::NotConnected;
    return code == CURLE_OPERATION_TIMEDOUT ? CallEnd::TimedOut : CallEnd::Broken;
}

} // namespace ragwortwinch::internal
