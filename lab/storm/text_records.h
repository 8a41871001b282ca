// Writes a run's records as text, one line each. The request, try and attempt numbers in the lines allow
// following one request on either driver.
#pragma once

#include <cstdio>
#include <memory>
#include <string>

#include "model/records.h"

namespace fernward::lab::storm {

class TextRecordSink : public model::Sink {
 public:
  explicit TextRecordSink(const std::string& path); // throws std::runtime_error if the file can't be opened

  using model::Sink::on;
  void on(const model::DrawnRequest& d) override;
  void on(const model::TrySent& record) override;
  void on(const model::TryEnded& record) override;
  void on(const model::RequestEnded& record) override;
  void on(const model::AttemptArrived& record) override;
  void on(const model::AttemptEnded& record) override;
  void on(const model::NodeEvent& record) override;
  void on(const model::RouterEvent& record) override;
  void on(const model::EndpointNotified& record) override;
  void on(const model::EventMark& record) override;
  void on(const model::RouterLogLine& record) override;

 private:
  std::unique_ptr<std::FILE, int (*)(std::FILE*)> file_;
};

} // namespace fernward::lab::storm
