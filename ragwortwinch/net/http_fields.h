// The header fields of the forwarding path, as Boost.Beast keeps them.
//
// RESTinio reports a caller's disconnection only when a write fails, and libcurl repeats a request by itself
// on a kept connection that died; forwarding can accept neither (see docs/design/platform.md for the tests).
#pragma once

#include <boost/beast/http/fields.hpp>

namespace ragwortwinch {

using HttpFields = boost::beast::http::fields;

} // namespace ragwortwinch
