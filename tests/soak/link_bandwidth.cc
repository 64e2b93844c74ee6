#include "tests/soak/link_bandwidth.h"

#include <algorithm>
#include <utility>

namespace hemlockdoor::soak {

LinkBandwidth::LinkBandwidth(std::int64_t limit_per_second)
    : bytes_per_second(limit_per_second) {
  QObject::connect(&this->timer, &QTimer::timeout, this,
                   [this] { this->OnTick(); });
  this->timer.setTimerType(Qt::PreciseTimer);
  this->timer.start(kTickMs);
}

void LinkBandwidth::Pass(QTcpSocket* receiver, QByteArray bytes) {
  this->queue.push_back({receiver, std::move(bytes)});
}

void LinkBandwidth::OnTick() {
  std::int64_t left = this->bytes_per_second / kTicksPerSecond;
  while (left > 0 && !this->queue.empty()) {
    Packet& first = this->queue.front();
    const auto passed = std::min<std::int64_t>(left, first.bytes.size());
    if (first.receiver && first.receiver->isOpen()) {
      first.receiver->write(first.bytes.constData(), passed);
    }
    left -= passed;
    first.bytes.remove(0, passed);
    if (first.bytes.isEmpty()) {
      this->queue.pop_front();
    }
  }
}

}  // namespace hemlockdoor::soak
