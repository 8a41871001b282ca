// A router with a control port, and clients of this port.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "scripted_peers.h"

namespace fernward::tests {

// One connection to the control port: the text received, and whether the router has closed it.
class ControlClient {
 public:
  ControlClient(event_base* base, int port, const std::string& text = "")
      : io_(loop::make_bufferevent(base, socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))) {
    sockaddr_in socket_address{};
    socket_address.sin_family = AF_INET;
    socket_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socket_address.sin_port = htons(static_cast<std::uint16_t>(port));
    bufferevent_setcb(
        io_.get(),
        [](bufferevent* io, void* context) {
          const auto input = loop::pending_input(io);
          static_cast<ControlClient*>(context)->received += input;
          loop::consume_input(io, input.size());
        },
        nullptr,
        [](bufferevent*, short events, void* context) {
          if ((events & BEV_EVENT_CONNECTED) == 0) static_cast<ControlClient*>(context)->closed = true;
        },
        this);
    bufferevent_socket_connect(io_.get(), reinterpret_cast<sockaddr*>(&socket_address),
                               sizeof socket_address);
    bufferevent_enable(io_.get(), EV_READ | EV_WRITE);
    send(text);
  }
  void send(const std::string& text) { bufferevent_write(io_.get(), text.data(), text.size()); }
  void half_close() { shutdown(bufferevent_getfd(io_.get()), SHUT_WR); }
  std::string received;
  bool closed = false;

 private:
  loop::BuffereventPtr io_;
};

struct RouterWithControlPort : RouterFixture {
  explicit RouterWithControlPort(const std::function<void(Json&)>& change_config = [](Json&) {})
      : RouterFixture([&](Json& file) {
          file["control"] = "127.0.0.1:0";
          change_config(file);
        }) {}
  std::string send_command(const std::string& line) {
    ControlClient client(base.get(), router->control_port(), line + "\n");
    wait_until([&] { return client.closed; });
    return client.received;
  }
  // Sends `request_count` requests at once, more than one cache can serve, and returns how many were served.
  int send_requests(int request_count) {
    std::vector<std::unique_ptr<TestClient>> clients;
    for (int i = 0; i < request_count; ++i) {
      const std::string number = std::to_string(++sent_requests);
      clients.push_back(std::make_unique<TestClient>(base.get(), router->port()));
      clients.back()->send(get_request("/k/" + number, "r" + number));
    }
    int served = 0;
    for (const auto& client : clients) {
      wait_until([&] { return !client->responses.empty() || client->closed; });
      served += !client->responses.empty() && client->responses.front().status == 200;
    }
    return served;
  }
  int sent_requests = 0;
};

} // namespace fernward::tests
