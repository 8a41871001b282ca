// Writes a run's records as text, one line each. The request, try and attempt numbers in the lines allow
// following one request on either driver.
#pragma once

#include <cstdio>
#include <memory>
#include <string>

#include "model/record.h"

namespace fernward::lab::storm {

class Lines : public model::Sink {
 public:
  explicit Lines(const std::string& path); // throws std::runtime_error if the file can't be opened

  using model::Sink::on;
  void on(const model::Drawn& d) override;
  void on(const model::Tried& t) override;
  void on(const model::Answered& a) override;
  void on(const model::Closed& c) override;
  void on(const model::Arrived& a) override;
  void on(const model::AttemptEnded& e) override;
  void on(const model::NodeEvent& e) override;
  void on(const model::RouterEvent& e) override;
  void on(const model::Told& t) override;
  void on(const model::Mark& m) override;
  void on(const model::RouterLog& l) override;

 private:
  std::unique_ptr<std::FILE, int (*)(std::FILE*)> file_;
};

} // namespace fernward::lab::storm
