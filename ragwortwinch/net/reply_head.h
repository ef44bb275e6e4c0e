// Checks of the head of a reply that HTTP libraries leave to their users. A reply that fails one is not an
// answer of the server: it is treated like a connection that broke off.
//
//     if (!isFinalStatus(status)) { ... }
//
// Thread-safe.
#pragma once

#include "ragwortwinch/net/http_message.h"

#include <algorithm>
#include <string_view>

namespace ragwortwinch {

// Whether the status precedes the final reply. 101 doesn't: it ends HTTP on the connection, and nothing here
// asks for that.
inline bool isInterimStatus(int status) { return status >= 100 && status < 200 && status != 101; }

// Whether the status is one of a final reply. Others, such as 000 or 600, are no status (RFC 9110, section
// 15).
inline bool isFinalStatus(int status) { return status >= 200 && status < 600; }

// Whether a field may have this name: a token (RFC 9110, section 5.6.2), which holds no blank and no control
// byte.
inline bool isFieldName(std::string_view name)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [symbols](char c) {
        bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        return isLetter || (c >= '0' && c <= '9') || symbols.find(c) != std::string_view::npos;
    });
}

// Whether a field may have this value, and a status line this reason: text without control bytes other than
// tabs.
inline bool isFieldValue(std::string_view value)
{
    return std::none_of(value.begin(), value.end(), [](char c) {
        constexpr unsigned char firstPrintable = 0x20;
        constexpr char del = 0x7f;
        return (static_cast<unsigned char>(c) < firstPrintable && c != '\t') || c == del;
    });
}

// Whether the body of a reply with this transfer coding can be read: in chunks, since nothing here asks for
// another coding. HTTP/1.0 has none, so there a sender doesn't mean what it says (RFC 9112, section 6.1).
inline bool isReadableTransferCoding(std::string_view coding, bool isHttp10)
{
    return !isHttp10 && equalsIgnoringCase(coding, "chunked");
}

} // namespace ragwortwinch
