// `Result<T>`: a value or an `Error`, carried by Boost.LEAF.
//
//     Result<int> parsePort(std::string_view);
//     int port = handleErrors([&] { return parsePort(text); }, [](const Error& error) { return 0; });
#pragma once

#include "ragwortwinch/base/error.h"

#include <boost/leaf.hpp>
#include <string>
#include <utility>

namespace ragwortwinch {

template <typename T> using Result = boost::leaf::result<T>;

// Returns a failure that converts to any `Result<T>`.
inline boost::leaf::error_id makeError(ErrorKind kind, std::string message)
{
    return boost::leaf::new_error(Error{kind, std::move(message)});
}

// Runs `body`, which returns a `Result<T>`, and returns its value, or on failure the T that
// `onError(const Error&)` returns.
template <typename Body, typename OnError> auto handleErrors(Body&& body, OnError&& onError)
{
    return boost::leaf::try_handle_all(
        std::forward<Body>(body), [&](const Error& error) { return onError(error); },
        [&] {
            return onError(Error{ErrorKind::Internal, "an error of unknown type; please report it"});
        });
}

} // namespace ragwortwinch
