// Reading of a caller's requests: limits, memory, stalls and invalid input.
#include "ragwortwinch/base/log_event.h"
#include "ragwortwinch/caller/caller_session.h"
#include "ragwortwinch/forward/http_status.h"
#include "ragwortwinch/forward/local_reply.h"
#include "ragwortwinch/forward/socket_options.h"

#include <algorithm>
#include <boost/beast/http/read.hpp>

namespace ragwortwinch {

namespace http = boost::beast::http;

namespace {

// Limit on reading a body: enough for the largest allowed one over a slow link.
constexpr Millis bodyTimeout{10000};
// Limit on the line with the size of a chunk and on the trailer, which the parser uses only as a whole. It is
// added to the limit on the header.
constexpr std::size_t maxChunkLineBytes = 16 * 1024;
// How often a body is checked for progress.
constexpr Millis stallCheckInterval{500};
// What a field takes beside its text: an element of Beast's two containers, with its links.
constexpr std::size_t fieldOverheadBytes = 96;
// Copies of a field's text: the parsed one and that in the head for an endpoint.
constexpr std::size_t fieldCopies = 2;

} // namespace

void CallerSession::readRequest()
{
    state_ = State::Reading;
    CallerLimits bounds = limits();
    parser_.emplace();
    parser_->header_limit(bounds.maxHeaderBytes);
    parser_->body_limit(bounds.maxBodyBytes);
    parser_->get().body().setLimits(memory_, bounds.maxBodyBytes);
    buffer_.max_size(std::max(buffer_.size(), bounds.maxHeaderBytes + maxChunkLineBytes));
    armTimer(bounds.headerTimeout, [this] {
        rejectInput(
            statusRequestTimeout, ErrorKind::BadRequest, "the header took too long; the request was not run");
    });
    http::async_read_header(socket_, buffer_, *parser_,
        [self = shared_from_this()](const ErrorCode& error, std::size_t) { self->onHeader(error); });
}

// Returns why a header that the parser accepted is invalid, or an empty string.
std::string CallerSession::inputProblem() const
{
    const http::request_header<>& header = parser_->get().base();
    if (header.target().empty() || header.target().front() != '/')
        return "the target must be a path";
    auto encoding = header.find(http::field::transfer_encoding);
    if (encoding != header.end() && !boost::beast::iequals(encoding->value(), "chunked"))
        return "a body must have a length or come in chunks";
    if (header.count(http::field::transfer_encoding) > 1 || header.count(http::field::content_length) > 1)
        return "the length of the body is given twice";
    if (header.count(http::field::host) != 1)
        return "exactly one Host is needed";
    return {};
}

void CallerSession::onHeader(const ErrorCode& error)
{
    if (state_ != State::Reading)
        return;
    if (error) {
        if (isOutOfMemory(error))
            rejectForMemory();
        else if (error == http::error::header_limit)
            rejectInput(statusHeaderTooLarge, ErrorKind::TooLarge, "the header is longer than allowed");
        else if (error == http::error::body_limit)
            rejectInput(statusTooLarge, ErrorKind::TooLarge, "the body is longer than allowed");
        else if (error.category() == http::make_error_code(http::error::bad_method).category()
            && error != http::error::end_of_stream && error != http::error::partial_message)
            rejectInput(statusBadRequest, ErrorKind::BadRequest,
                "the request can't be understood: " + error.message());
        else
            close(ConnectionEnd::CallerGone);
        return;
    }
    std::string problem = inputProblem();
    if (!problem.empty()) {
        rejectInput(statusBadRequest, ErrorKind::BadRequest, problem);
        return;
    }
    if (!chargeRequest()) {
        rejectForMemory();
        return;
    }
    if (parser_->is_done()) {
        run();
        return;
    }
    checkStall(context_.clock.now());
    if (boost::beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
        write("HTTP/1.1 100 Continue\r\n\r\n", [self = shared_from_this()] { self->readBody(); });
        return;
    }
    readBody();
}

bool CallerSession::chargeRequest()
{
    std::size_t size = 0;
    for (const http::request_header<>::value_type& field : parser_->get().base())
        size += fieldOverheadBytes + fieldCopies * (field.name_string().size() + field.value().size());
    if (!memory_.add(size))
        return false;
    fieldBytes_ = size;
    return parser_->get().body().reserve(static_cast<std::size_t>(parser_->content_length().value_or(0)));
}

void CallerSession::rejectForMemory()
{
    rejectInput(statusUnavailable, ErrorKind::NoCapacity,
        "this VM holds too many requests; this one was not run, use another VM or try again");
}

bool CallerSession::isOutOfMemory(const ErrorCode& error) const
{
    // A full buffer means that a head or the line of a chunk is too long.
    return error == boost::system::errc::not_enough_memory
        || (error == http::error::buffer_overflow && buffer_.size() < buffer_.max_size());
}

bool CallerSession::isStalled(Millis stallTime)
{
    return state_ == State::Reading && timeSinceInput(socket_) >= stallTime && !hasUnreadBytes();
}

void CallerSession::endStalled()
{
    rejectInput(statusRequestTimeout, ErrorKind::BadRequest, "the request stalled; it was not run");
}

void CallerSession::checkStall(Instant bodyStart)
{
    armTimer(stallCheckInterval, [this, bodyStart] {
        Instant now = context_.clock.now();
        // Bytes may lie unhandled for as long as this thread is behind.
        Millis stallTime = context_.options.bodyStallTimeout + context_.lag.recentLag(now);
        if (now - bodyStart >= bodyTimeout)
            rejectInput(statusRequestTimeout, ErrorKind::BadRequest,
                "the body took too long; the request was not run");
        else if (isStalled(stallTime))
            endStalled();
        else
            checkStall(bodyStart);
    });
}

void CallerSession::readBody()
{
    // The request may have been ended while 100 (Continue) was written.
    if (state_ != State::Reading)
        return;
    http::async_read(socket_, buffer_, *parser_,
        [self = shared_from_this()](const ErrorCode& error, std::size_t) { self->onBody(error); });
}

void CallerSession::onBody(const ErrorCode& error)
{
    if (state_ != State::Reading)
        return;
    if (error == http::error::body_limit) {
        rejectInput(statusTooLarge, ErrorKind::TooLarge, "the body is longer than allowed");
        return;
    }
    if (isOutOfMemory(error)) {
        rejectForMemory();
        return;
    }
    if (error) {
        bool isMalformed = error.category() == http::make_error_code(http::error::bad_method).category()
            && error != http::error::partial_message && error != http::error::end_of_stream;
        if (isMalformed)
            rejectInput(statusBadRequest, ErrorKind::BadRequest, "the body can't be understood");
        else
            close(ConnectionEnd::CallerGone);
        return;
    }
    run();
}

void CallerSession::rejectInput(int status, ErrorKind kind, const std::string& message)
{
    Instant now = context_.clock.now();
    if (context_.log.shouldLogFailure(now))
        LogEvent("request.bad_input", Severity::Warning).with("status", status).with("problem", message);
    context_.metrics.onRequestEnd("none", RequestOutcome::Rejected, Millis(0));
    state_ = State::Replying;
    mustClose_ = true;
    isInputRejected_ = true;
    armTimer(Millis(0), nullptr);
    dropInput();
    if (isWriting_) {
        // 100 (Continue) has not been taken yet; no reply can follow it.
        close(ConnectionEnd::AfterReply);
        return;
    }
    std::string head
        = localReplyHead(status, status == statusUnavailable ? context_.options.retryAfter : Millis(0));
    std::string body = errorBody(kind, message);
    sendWhole(std::move(head), std::move(body), false);
}

} // namespace ragwortwinch
