// The header fields of the forwarding path, as Boost.Beast keeps them.
//
// RESTinio has one bound, fixed at its start, for slow requests and idle connections, and libcurl repeats a
// request by itself on a kept connection that died; forwarding can accept neither (docs/design/platform.md
// names the tests).
#pragma once

#include <boost/beast/http/fields.hpp>

namespace ragwortwinch {

using HttpFields = boost::beast::http::fields;

} // namespace ragwortwinch
