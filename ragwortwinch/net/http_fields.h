// Header fields of the forwarding path, which is built on Boost.Beast.
//
// RESTinio has a single timeout, fixed at start-up, for slow requests and idle connections, and libcurl
// resends a request by itself when a reused connection fails. Forwarding can accept neither
// (docs/design/platform.md names the tests).
#pragma once

#include <boost/beast/http/fields.hpp>

namespace ragwortwinch {

using HttpFields = boost::beast::http::fields;

} // namespace ragwortwinch
