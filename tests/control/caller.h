// A router with a control port, and clients of this port.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "peers.h"

namespace fernward::tests {

// One connection to the control port: the text received, and whether the router has closed it.
class Caller {
 public:
  Caller(event_base* base, int port, const std::string& text = "")
      : io_(loop::make_bufferevent(base, socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))) {
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    where.sin_port = htons(static_cast<std::uint16_t>(port));
    bufferevent_setcb(
        io_.get(),
        [](bufferevent* b, void* c) {
          const auto input = loop::pending_input(b);
          static_cast<Caller*>(c)->told += input;
          loop::consume_input(b, input.size());
        },
        nullptr,
        [](bufferevent*, short what, void* c) {
          if ((what & BEV_EVENT_CONNECTED) == 0) static_cast<Caller*>(c)->ended = true;
        },
        this);
    bufferevent_socket_connect(io_.get(), reinterpret_cast<sockaddr*>(&where), sizeof where);
    bufferevent_enable(io_.get(), EV_READ | EV_WRITE);
    say(text);
  }
  void say(const std::string& text) { bufferevent_write(io_.get(), text.data(), text.size()); }
  void half_close() { shutdown(bufferevent_getfd(io_.get()), SHUT_WR); }
  std::string told;
  bool ended = false;

 private:
  loop::BuffereventPtr io_;
};

struct Controlled : World {
  explicit Controlled(const std::function<void(Json&)>& change = [](Json&) {})
      : World([&](Json& file) {
          file["control"] = "127.0.0.1:0";
          change(file);
        }) {}
  std::string call(const std::string& line) {
    Caller caller(base.get(), router->control_port(), line + "\n");
    until([&] { return caller.ended; });
    return caller.told;
  }
  // Sends `times` requests at once, more than one cache can serve, and returns how many were served.
  int ask(int times) {
    std::vector<std::unique_ptr<Client>> all;
    for (int i = 0; i < times; ++i) {
      const std::string n = std::to_string(++asked);
      all.push_back(std::make_unique<Client>(base.get(), router->port()));
      all.back()->send(get("/k/" + n, "r" + n));
    }
    int served = 0;
    for (const auto& one_client : all) {
      until([&] { return !one_client->answers.empty() || one_client->closed; });
      served += !one_client->answers.empty() && one_client->answers.front().status == 200;
    }
    return served;
  }
  int asked = 0;
};

} // namespace fernward::tests
