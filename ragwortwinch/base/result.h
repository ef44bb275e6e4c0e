// `Result<T>`: a value or an `Error`, carried by Boost.LEAF.
//
//     Result<int> parsePort(std::string_view);
//     int port = valueOr(parsePortResult, [](const Error& error) { return 0; });
#pragma once

#include "ragwortwinch/base/error.h"

#include <boost/leaf.hpp>
#include <string>
#include <utility>

namespace ragwortwinch {

template <typename T> using Result = boost::leaf::result<T>;

// Makes the failed result that a function returns.
inline boost::leaf::error_id makeError(ErrorKind kind, std::string message)
{
    return boost::leaf::new_error(Error{kind, std::move(message)});
}

// Runs `body`, which returns a `Result<T>`; on failure returns what `onError(const Error&)` gives, a T.
template <typename Body, typename OnError> auto handleErrors(Body&& body, OnError&& onError)
{
    return boost::leaf::try_handle_all(
        std::forward<Body>(body), [&](const Error& error) { return onError(error); },
        [&] {
            return onError(Error{ErrorKind::Internal, "an error of unknown type; please report it"});
        });
}

} // namespace ragwortwinch
