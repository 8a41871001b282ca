// The HTTP parser and writer: split input, rejected input and input that must not be taken for a message.
#include <doctest/doctest.h>

#include "http/parser.h"

using namespace fernward::http;

namespace {

Parser parse(const std::string& bytes, MessageKind kind = MessageKind::Request) {
  Parser parser(kind);
  parser.feed(bytes);
  return parser;
}
ParseError parse_error(const std::string& bytes, MessageKind kind = MessageKind::Request) {
  return parse(bytes, kind).error();
}

} // namespace

// Guards against parser state lost between reads.
TEST_CASE("a request is parsed the same however its bytes are split") {
  const std::string text =
      "\r\nPUT /a/b?x=1 HTTP/1.1\r\nHost: h\r\nX-Request-ID:  9b \r\ntransfer-encoding: Chunked\r\n\r\n"
      "3;ext=1\r\nabc\r\n0A\r\n0123456789\r\n0\r\nTrailer: t\r\n\r\nGET /";
  for (std::size_t step_bytes : {1, 2, 7, 500}) {
    Parser parser(MessageKind::Request);
    std::size_t consumed_bytes = 0;
    while (consumed_bytes < text.size() && !parser.done()) {
      const std::size_t fed_bytes = parser.feed(std::string_view(text).substr(consumed_bytes, step_bytes));
      REQUIRE(parser.error() == ParseError::None);
      REQUIRE(fed_bytes > 0);
      consumed_bytes += fed_bytes;
    }
    REQUIRE(parser.done());
    CHECK(text.substr(consumed_bytes) == "GET /"); // the bytes of the next request are not consumed
    const Message message = parser.take_message();
    CHECK(message.method == "PUT");
    CHECK(message.target == "/a/b?x=1");
    CHECK(message.header("x-request-id") == "9b");
    CHECK(message.body == "abc0123456789");
    CHECK(message.keep_alive);
    CHECK_FALSE(parser.has_started()); // ready for the next message
  }
}

// Guards against request smuggling, header injection and forged lengths.
TEST_CASE("invalid HTTP is rejected as malformed") {
  const std::string head = "GET / HTTP/1.1\r\n";
  for (const std::string& invalid : {
           std::string("GET /\r\n\r\n"),
           std::string("GET / HTTP/2.0\r\n\r\n"),
           std::string("G T / HTTP/1.1\r\n\r\n"),
           std::string("GET nopath HTTP/1.1\r\n\r\n"),
           std::string("GET / HTTP/1.1\n\n"),
           std::string("\x16\x03\x01\r\n"),
           head + "no colon\r\n\r\n",
           head + "bad name : x\r\n\r\n",
           head + " folded: x\r\n\r\n",
           head + "A: b\x01\r\n\r\n",
           head + "Content-Length: -1\r\n\r\n",
           head + "Content-Length: 1x\r\n\r\n",
           head + "Content-Length: 99999999999999999999\r\n\r\n",
           head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n",
           head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
           head + "Transfer-Encoding: gzip, chunked\r\n\r\n",
           head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
           head + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n",
       }) {
    CAPTURE(invalid);
    CHECK(parse_error(invalid) == ParseError::Malformed);
  }
  CHECK(parse_error(head + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab") == ParseError::Malformed);
}

// Guards against a head of many short fields that takes far more memory than its bytes.
TEST_CASE("a head has a limited number of fields and its fields are counted as memory") {
  const auto head_with_fields = [](std::size_t fields) {
    std::string head = "GET / HTTP/1.1\r\n";
    for (std::size_t i = 0; i < fields; ++i) head += "a:\r\n";
    return head;
  };
  CHECK(parse(head_with_fields(kMaxHeaderFields) + "\r\n").done());
  CHECK(parse_error(head_with_fields(kMaxHeaderFields + 1)) == ParseError::HeaderTooLarge);
  CHECK(parse_error("HTTP/1.1 200 OK\r\n" + head_with_fields(kMaxHeaderFields + 1).substr(16),
                    MessageKind::Response) == ParseError::HeaderTooLarge);
  Parser partial(MessageKind::Request);
  partial.feed(head_with_fields(kMaxHeaderFields));
  CHECK(partial.buffered_bytes() >= kMaxHeaderFields * sizeof(Header));
}

// Guards against unbounded memory use.
TEST_CASE("headers and bodies up to the size limits are accepted and longer ones rejected") {
  const std::string head = "PUT / HTTP/1.1\r\n";
  const auto with_body = [&](std::size_t body_bytes) {
    return head + "Content-Length: " + std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'x');
  };
  CHECK(parse(with_body(kMaxBodyBytes)).done());
  CHECK(parse_error(with_body(kMaxBodyBytes + 1)) == ParseError::BodyTooLarge);
  CHECK(parse_error(head + "Transfer-Encoding: chunked\r\n\r\nFFFFFFF\r\n") == ParseError::BodyTooLarge);
  CHECK(parse_error("GET /" + std::string(kMaxHeaderBytes, 'a')) ==
        ParseError::HeaderTooLarge); // without a line end
  std::string long_header = head;
  while (long_header.size() <= kMaxHeaderBytes) long_header += "A: b\r\n";
  CHECK(parse_error(long_header) == ParseError::HeaderTooLarge);
  CHECK(parse_error("HTTP/1.1 200 OK\r\n\r\n" + std::string(kMaxBodyBytes + 1, 'x'), MessageKind::Response) ==
        ParseError::BodyTooLarge);
}

// Guards against taking a truncated response as complete.
TEST_CASE("the end of a response is detected") {
  Parser until_close = parse("HTTP/1.1 200 OK\r\n\r\nabc", MessageKind::Response);
  CHECK_FALSE(until_close.done());
  CHECK(until_close.end_of_input());
  CHECK(until_close.message().body == "abc");
  CHECK_FALSE(until_close.message().keep_alive);
  CHECK_FALSE(parse("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc", MessageKind::Response).end_of_input());
  CHECK_FALSE(
      parse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", MessageKind::Response)
          .end_of_input());
  CHECK(parse("HTTP/1.1 204 No Content\r\n\r\n", MessageKind::Response).done());
  CHECK(
      parse("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n", MessageKind::Response)
          .message()
          .status == 404);
  CHECK_FALSE(
      parse("HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", MessageKind::Response).message().keep_alive);
  CHECK_FALSE(
      parse("HTTP/1.1 200 OK\r\nConnection: x, Close\r\nContent-Length: 0\r\n\r\n", MessageKind::Response)
          .message()
          .keep_alive);
  for (const char* invalid :
       {"HTTP/1.1 20 OK\r\n", "HTTP/1.1 2000 OK\r\n", "ICY 200 OK\r\n", "HTTP/1.1 099 X\r\n"}) {
    CHECK(parse_error(invalid, MessageKind::Response) == ParseError::Malformed);
  }
}

// Guards against framing errors in written messages.
TEST_CASE("written messages can be parsed again") {
  Parser request = parse(write_request("PUT", "/a?b", "h:1", {{"X-A", "b"}}, "body"));
  REQUIRE(request.done());
  CHECK(request.message().header("host") == "h:1");
  CHECK(request.message().body == "body");
  Parser response = parse(write_response(503, {{"Retry-After", "1.5"}}, "", false), MessageKind::Response);
  REQUIRE(response.done());
  CHECK(response.message().header("retry-after") == "1.5");
  CHECK_FALSE(response.message().keep_alive);
}

// Guards against valid responses truncated by the size limit for headers.
TEST_CASE("a body in chunks of one byte is received completely") {
  const std::string body(8000, 'x');
  std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const char c : body) text.append("1\r\n").append(1, c).append("\r\n");
  Parser parser(MessageKind::Response);
  parser.feed(text + "0\r\n\r\n");
  REQUIRE(parser.done());
  CHECK(parser.message().body == body);
  Parser endless(MessageKind::Response);
  endless.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;" + std::string(2000, 'a'));
  CHECK(endless.error() == ParseError::HeaderTooLarge);
}

// Guards against answering 400 to a valid request in absolute form.
TEST_CASE("a request target in absolute form is reduced to its path") {
  const auto target = [](const std::string& text) {
    Parser parser = parse("GET " + text + " HTTP/1.1\r\nHost: h\r\n\r\n");
    return parser.done() ? parser.take_message().target : "fault";
  };
  CHECK(target("http://backend.local:7070/api/7f?x=http://y/") == "/api/7f?x=http://y/");
  CHECK(target("HTTP://h/") == "/");
  CHECK(target("http://h") == "/");
  for (const char* text : {"http://", "http:///k", "https://h/k", "http:/k", "*", "h:80"})
    CHECK(target(text) == "fault");
}

// Guards against parser state lost at a split.
TEST_CASE("every form of a message split at every position is parsed the same") {
  struct MessageForm {
    MessageKind kind;
    std::string text, body, unconsumed;
    bool keep_alive;
  };
  const std::vector<MessageForm> forms = {
      {MessageKind::Request, "GET /k HTTP/1.1\r\nHost: h\r\n\r\n", "", "", true},
      {MessageKind::Request, "\r\n\r\nGET /k HTTP/1.1\r\nConnection: Foo , close\r\n\r\n", "", "", false},
      {MessageKind::Request, "GET http://h:1/k HTTP/1.1\r\nConnection: TE, keep-alive\r\n\r\n", "", "", true},
      {MessageKind::Request, "GET /k HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", "", "", true},
      {MessageKind::Request, "PUT /k HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\nhello",
       "hello", "", true},
      {MessageKind::Request,
       "PUT /k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b;c=\"d\"\r\nhello\r\n0\r\nT: v\r\n\r\n",
       "hello", "", true},
      {MessageKind::Request, "GET /k HTTP/1.1\r\n\r\nGET /next HTTP/1.1\r\n\r\n", "",
       "GET /next HTTP/1.1\r\n\r\n", true},
      {MessageKind::Response,
       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n"
       "Content-Length: 2\r\n\r\nok",
       "ok", "", true},
      {MessageKind::Response,
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n00001;x\r\nk\r\n000\r\nA: b\r\nC: "
       "d\r\n\r\n",
       "ok", "", true},
      {MessageKind::Response, "HTTP/1.1 200\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", "", "",
       false},
      {MessageKind::Response, "HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1", "", "HTTP/1.1", true},
      {MessageKind::Response, "HTTP/1.1 304 Not Modified\r\nContent-Length: 700\r\n\r\n", "", "", true},
  };
  for (const MessageForm& form : forms) {
    CAPTURE(form.text);
    for (std::size_t cut = 0; cut <= form.text.size(); ++cut) {
      CAPTURE(cut);
      Parser parser(form.kind);
      std::size_t consumed_bytes = parser.feed(std::string_view(form.text).substr(0, cut));
      if (!parser.done()) consumed_bytes += parser.feed(std::string_view(form.text).substr(consumed_bytes));
      REQUIRE(parser.error() == ParseError::None);
      REQUIRE(parser.done());
      const Message message = parser.take_message();
      CHECK(message.body == form.body);
      CHECK(message.keep_alive == form.keep_alive);
      CHECK(form.text.substr(consumed_bytes) == form.unconsumed);
    }
  }
}
