// Reads the lines that libcurl hands out of a reply's head, and checks what libcurl takes unchecked.
//
//     std::string problem = reader.onLine(line, headers);
//     if (!problem.empty()) end the call;
//
// Not thread-safe.
#pragma once

#include "ragwortwinch/net/http_message.h"

#include <string>
#include <string_view>

namespace ragwortwinch {

class ReplyHeadReader {
public:
    // Takes a line with its end: a status line, a field or the blank line behind them, of interim replies
    // (1xx), the final one or its trailer. Sets `headers` to the fields of the reply that is being read,
    // without those of its trailer. Returns why the reply is invalid, or an empty string.
    std::string onLine(std::string_view line, HttpHeaders& headers);

private:
    // The part of the reply to which the next line belongs.
    enum class Part { StatusLine, InterimFields, FinalFields, Trailer };

    std::string onStatusLine(std::string_view line);
    void onBlankLine();
    std::string onField(std::string_view line, HttpHeaders& headers) const;
    // Checks that the body can be read: that its coding is known, and that the fields agree on where it ends.
    std::string checkBodyField(
        std::string_view name, std::string_view value, const HttpHeaders& before) const;

    Part part_ = Part::StatusLine;
    bool isHttp10_ = false;
};

} // namespace ragwortwinch
