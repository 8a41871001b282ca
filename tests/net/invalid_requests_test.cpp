// Invalid requests, and unusual valid ones, with the program as a separate process. docs/notes/http-syntax.md
// has the rule for each.
#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "program.h"
#include "scripted_peers.h"

using namespace fernward;
using namespace fernward::tests;

namespace {

struct SyntaxFixture {
  router::EventBasePtr base = router::make_event_base();
  ScriptedServer discovery{base.get(), [this](const http::Message& request) {
                             return request.target == "/v1/endpoints" ? ok_response(endpoint_list().dump())
                                                                      : std::string();
                           }};
  ScriptedServer cache{base.get(), [](const http::Message&) { return ok_response("value"); }};
  ScriptedServer origin{base.get(), [](const http::Message&) { return ok_response("stored"); }};
  std::unique_ptr<TestProgram> program;
  int request_count = 0;

  SyntaxFixture() {
    program = std::make_unique<TestProgram>(std::vector<std::string>{"serve"},
                                            config_json(discovery.address, endpoint_list()));
    REQUIRE(run_until(base.get(), [&] { return program->port() != 0; }));
    // A probe of readiness needs no Host field.
    REQUIRE(run_until(base.get(), [&] { return status_of("GET /ready HTTP/1.1\r\n\r\n") == 200; }));
  }
  Json endpoint_list() {
    return endpoint_list_json(
        1, true,
        {endpoint_json("s-1", cache.address), endpoint_json("o-1", origin.address, "in_service", "origin")});
  }
  std::size_t requests_sent() const { return cache.requests.size() + origin.requests.size(); }
  // On a new connection; 0: no response.
  int status_of(const std::string& text) {
    return TestClient(base.get(), program->port()).send_and_wait(text).status;
  }
  std::string read(const std::string& request_line, const std::string& headers) {
    return request_line + "\r\n" + headers + "X-Request-ID: r" + std::to_string(++request_count) +
           "\r\nX-Priority-Class: read\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 2000\r\n\r\n";
  }
  std::string write(const std::string& headers, const std::string& body) {
    const std::string id = "w" + std::to_string(++request_count);
    return "PUT /k HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id +
           "\r\nX-Priority-Class: book\r\nIdempotency-Key: k-" + id + "\r\nX-Timeout-Ms: 2000\r\n" + headers +
           "\r\n" + body;
  }
  void check_rejected(const std::string& description, const std::string& text) {
    CAPTURE(description);
    const std::size_t before = requests_sent();
    const int status = status_of(text);
    CHECK(status >= 400);
    CHECK(status < 500);
    CHECK(requests_sent() == before);
  }
  void check_served(const std::string& description, const std::string& text) {
    CAPTURE(description);
    CHECK(status_of(text) == 200);
  }
};

const std::string kReadLine = "GET /k HTTP/1.1";
const std::string kHost = "Host: h\r\n";
const std::string kChunked = "Transfer-Encoding: chunked\r\n";
std::string chunked_body(const std::string& size_line, const std::string& trailers = "") {
  return size_line + "\r\nabc\r\n0\r\n" + trailers + "\r\n";
}

} // namespace

// Guards against a request that is forwarded although another parser may read it differently.
TEST_CASE("an invalid request is rejected and no server receives it") {
  SyntaxFixture fixture;
  const std::string control(1, '\x01'), nul(1, '\0');
  for (const std::string& host :
       {std::string(), std::string("Host: a\r\nHost: b\r\n"), std::string("Host: a\r\nHost: a\r\n"),
        std::string("Host: a b\r\n"), std::string("Host: a/b\r\n"), std::string("Host: a,b\r\n"),
        std::string("Host: a:x\r\n"), std::string("Host: a:-1\r\n"), std::string("Host: a::1\r\n"),
        std::string("Host: user@a\r\n"), std::string("Host: a?b\r\n"), std::string("Host: a#b\r\n"),
        std::string("Host: [::1\r\n"), std::string("Host: [zz]\r\n"), std::string("Host: [::1]x\r\n"),
        std::string("Host: a%zz\r\n"), std::string("Host: a\\b\r\n"), std::string("Host: a\xff\r\n")}) {
    fixture.check_rejected(host.empty() ? "no Host" : host, fixture.read(kReadLine, host));
  }
  fixture.check_rejected("absolute form, no Host", fixture.read("GET http://h/k HTTP/1.1", ""));
  fixture.check_rejected("invalid Host at /ready", "GET /ready HTTP/1.1\r\nHost: a b\r\n\r\n");
  for (const std::string& line : {std::string("GET /k#f HTTP/1.1"),
                                  std::string("GET /k\" HTTP/1.1"),
                                  std::string("GET /k<x HTTP/1.1"),
                                  std::string("GET /k>x HTTP/1.1"),
                                  std::string("GET /%zz HTTP/1.1"),
                                  std::string("GET /% HTTP/1.1"),
                                  std::string("GET /%4 HTTP/1.1"),
                                  std::string("GET /\\k HTTP/1.1"),
                                  std::string("GET /^k HTTP/1.1"),
                                  std::string("GET /`k HTTP/1.1"),
                                  std::string("GET /{k} HTTP/1.1"),
                                  std::string("GET /|k HTTP/1.1"),
                                  std::string("GET /[k] HTTP/1.1"),
                                  std::string("GET /k?a=\" HTTP/1.1"),
                                  std::string("GET /\xc3\xa4 HTTP/1.1"),
                                  std::string("GET /k" + nul + " HTTP/1.1"),
                                  std::string("GET /k\r HTTP/1.1"),
                                  std::string("GET\t/k HTTP/1.1"),
                                  std::string("GET  /k HTTP/1.1"),
                                  std::string("GET /k HTTP/1.1 "),
                                  std::string(" GET /k HTTP/1.1"),
                                  std::string("GET /k k HTTP/1.1"),
                                  std::string("GET /k http/1.1"),
                                  std::string("GET /k HTTP/1.12"),
                                  std::string("GET /k HTTP/2.0"),
                                  std::string("GET /k"),
                                  std::string("GET * HTTP/1.1"),
                                  std::string("GET h:80 HTTP/1.1"),
                                  std::string("GET http:///k HTTP/1.1"),
                                  std::string("GET http://:80/k HTTP/1.1"),
                                  std::string("GET http://user@h/k HTTP/1.1"),
                                  std::string("GET http://h:x/k HTTP/1.1"),
                                  std::string("GET http://h/k#f HTTP/1.1"),
                                  std::string("GET https://h/k HTTP/1.1")}) {
    fixture.check_rejected(line, fixture.read(line, kHost));
  }
  for (const std::string& header : {std::string("A : b"),
                                    std::string("A: b\r\n c"),
                                    std::string(": b"),
                                    std::string("A(b: c"),
                                    "A: b" + control,
                                    "A: b" + nul,
                                    std::string("A: b\rc"),
                                    std::string("A: b\x7f"),
                                    std::string("A: b\nB: c"),
                                    std::string("no colon"),
                                    std::string("Connection: a b"),
                                    std::string("X-Retried: 7"),
                                    std::string("X-Retried: 1\r\nX-Retried: 1"),
                                    std::string("X-Cost: junk"),
                                    std::string("X-Cost: -4"),
                                    std::string("X-Cost: nan"),
                                    std::string("X-Cost: 1\r\nX-Cost: 1"),
                                    std::string("X-Attrs: =,=,;"),
                                    std::string("X-Attrs: a"),
                                    std::string("X-Attrs: a="),
                                    std::string("X-Attrs: a=1\r\nX-Attrs: a=2"),
                                    std::string("Expect: magic"),
                                    std::string("Expect: 100-continue\r\nExpect: magic")}) {
    fixture.check_rejected(header, fixture.read(kReadLine, kHost + header + "\r\n"));
  }
  for (const std::string& headers :
       {std::string("Content-Length: 3, 3\r\n"), std::string("Content-Length: 3\r\nContent-Length: 3\r\n"),
        std::string("Content-Length: +3\r\n"), std::string("Content-Length: -3\r\n"),
        std::string("Content-Length: 0x3\r\n"), std::string("Content-Length:\r\n"),
        "Content-Length: 3\r\n" + kChunked, kChunked + kChunked, std::string("Transfer-Encoding: gzip\r\n"),
        std::string("Transfer-Encoding: gzip, chunked\r\n"),
        std::string("Transfer-Encoding: chunked, chunked\r\n"),
        std::string("Transfer-Encoding: chunked;q=1\r\n"), std::string("Transfer-Encoding: identity\r\n"),
        std::string("Transfer-Encoding:\r\n")}) {
    fixture.check_rejected(headers, fixture.write(headers, chunked_body("3")));
  }
  const std::vector<std::string> invalid_size_lines = {" 3",
                                                       "3 ",
                                                       "3\t",
                                                       "0x3",
                                                       "+3",
                                                       "-3",
                                                       "",
                                                       ";a",
                                                       "3;",
                                                       "3;=v",
                                                       "3;a=",
                                                       "3;a b",
                                                       "3;a=\"b",
                                                       "3;a=\"" + control + "\"",
                                                       "3;a=" + control,
                                                       "3;" + control,
                                                       "3;a\rb"};
  for (const std::string& size_line : invalid_size_lines)
    fixture.check_rejected("chunk " + size_line, fixture.write(kChunked, chunked_body(size_line)));
  const std::vector<std::string> invalid_trailers = {
      "no colon",        "A: " + control,     "A b: c",
      "A : c",           "A: b\r\n c",        "A: b\rc",
      "Host: h",         "Content-Length: 3", "TE: x",
      "X-Request-ID: r", "Connection: close", "Transfer-Encoding: chunked"};
  for (const std::string& trailer : invalid_trailers)
    fixture.check_rejected("trailer " + trailer,
                           fixture.write(kChunked, chunked_body("3", trailer + "\r\n")));
  // In a long body, which is passed on while it arrives.
  const std::string long_chunk = "186a0\r\n" + std::string(100000, 'v') + "\r\n";
  for (const std::string& size_line : invalid_size_lines) {
    fixture.check_rejected("long, chunk " + size_line,
                           fixture.write(kChunked, long_chunk + chunked_body(size_line)));
  }
  for (const std::string& trailer : invalid_trailers) {
    fixture.check_rejected("long, trailer " + trailer,
                           fixture.write(kChunked, long_chunk + chunked_body("3", trailer + "\r\n")));
  }
}

// Guards against rejecting what the rules allow.
TEST_CASE("a valid request is served however unusual it is") {
  SyntaxFixture fixture;
  for (const std::string host :
       {"Host:\r\n", "Host: a:80\r\n", "Host: a:\r\n", "HOST:\t a \r\n", "Host: [::1]:80\r\n",
        "Host: [v1.a:b]\r\n", "Host: a%20b\r\n", "Host: a!$&'()*+;=_~-.b\r\n", "Host: 127.0.0.1\r\n"}) {
    fixture.check_served(host, fixture.read(kReadLine, host));
  }
  fixture.check_served("HTTP/1.0 without Host", fixture.read("GET /k HTTP/1.0", ""));
  for (const std::string line :
       {"GET /k?a=b&c=d/?:@ HTTP/1.1", "GET /!$&'()*+,;=:@-._~ HTTP/1.1", "GET /%C3%a4%2F HTTP/1.1",
        "GET /a/../k HTTP/1.1", "GET //a//k HTTP/1.1", "\r\n\r\nGET /k HTTP/1.1", "GET /k HTTP/1.9",
        "GET http://other:80/k?x HTTP/1.1", "GET HTTP://h HTTP/1.1", "GET http://h?x HTTP/1.1",
        "GET http://[::1]/k HTTP/1.1"}) {
    fixture.check_served(line, fixture.read(line, kHost));
  }
  CHECK(fixture.cache.requests.size() > 0);
  for (const std::string header : {"A: \xff\xe4", "A:", "A: \t b \t ", "A: b\tc", "!#$%&'*+-.^_`|~9: x",
                                   "Connection: foo, , keep-alive", "Upgrade: h2c\r\nConnection: upgrade",
                                   "X-Retried: 1", "X-Cost: 12.5", "X-Cost:", "X-Attrs: a=1,b=-2.5e+3",
                                   "X-Attrs:", "Expect: 100-Continue", "Expect:", "Content-Length: 0"}) {
    fixture.check_served(header, fixture.read(kReadLine, kHost + header + "\r\n"));
  }
  const std::string zeros(30, '0');
  fixture.check_served("a long length", fixture.write("Content-Length: " + zeros + "3\r\n", "abc"));
  fixture.check_served("no body", fixture.write("", ""));
  for (const std::string coding : {"CHUNKED", " chunked ", ",chunked, ,"})
    fixture.check_served(coding, fixture.write("Transfer-Encoding: " + coding + "\r\n", chunked_body("3")));
  for (const std::string& size_line :
       {std::string("00003"), zeros + "3", std::string("3;a"), std::string("3;a=b;c=\"d e;\\\"\""),
        std::string("3 ; a = b"), std::string("3\t;\ta\t=\t\"\xe4\t\"")}) {
    fixture.check_served("chunk " + size_line, fixture.write(kChunked, chunked_body(size_line)));
  }
  for (const std::string trailer : {"A: b\r\nB:\r\n", "A: \xe4\r\n"})
    fixture.check_served("trailer " + trailer, fixture.write(kChunked, chunked_body("3", trailer)));
}
