#include "ragwortwinch/dispatch/chat_request.h"

namespace ragwortwinch {

namespace {

constexpr std::int64_t defaultMaxTokens = 256;
constexpr std::int64_t maxAllowedTokens = 32768;
// An estimate; no tokenizer is used.
constexpr std::size_t bytesPerToken = 4;

// Appends the content of one message, which is either a string or a list of parts.
void appendContent(std::string& prompt, const Json& content)
{
    if (content.is_string())
        prompt += content.get_ref<const std::string&>();
    else if (content.is_array()) {
        for (const Json& part : content)
            prompt += stringMember(part, "text");
    }
    prompt += '\n';
}

} // namespace

std::int64_t ChatRequest::promptTokens() const
{
    return static_cast<std::int64_t>(prompt.size() / bytesPerToken) + 1;
}

Result<ChatRequest> parseChatRequest(std::string_view text)
{
    ChatRequest request;
    request.body = parseJsonOrDiscard(text);
    if (request.body.is_discarded() || !request.body.is_object())
        return makeError(ErrorKind::BadRequest,
            "the body is not a JSON object; send {\"model\": ..., \"messages\": [...]}");
    request.model = stringMember(request.body, "model");
    if (request.model.empty())
        return makeError(ErrorKind::BadRequest, "`model` is missing; GET /v1/models lists the names");
    auto messages = request.body.find("messages");
    if (messages == request.body.end() || !messages->is_array() || messages->empty())
        return makeError(ErrorKind::BadRequest, "`messages` must be a list with at least one message");
    for (const Json& message : *messages) {
        if (!message.is_object() || stringMember(message, "role").empty())
            return makeError(
                ErrorKind::BadRequest, "each message must be an object with `role` and `content`");
        if (message.contains("content"))
            appendContent(request.prompt, message["content"]);
    }
    request.wantsStream = booleanMember(request.body, "stream");
    const char* limitName
        = request.body.contains("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
    std::int64_t maxTokens = integerMember(request.body, limitName);
    if (maxTokens < 0 || maxTokens > maxAllowedTokens)
        return makeError(ErrorKind::BadRequest, "`max_tokens` must be from 1 to 32768");
    request.maxTokens = maxTokens == 0 ? defaultMaxTokens : maxTokens;
    return request;
}

} // namespace ragwortwinch
