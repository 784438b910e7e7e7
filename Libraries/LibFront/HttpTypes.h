#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace Front
{
using request_message = boost::beast::http::request<boost::beast::http::string_body>;
using reply_message = boost::beast::http::response<boost::beast::http::string_body>;
using reply_head = reply_message::header_type;
} // namespace Front
