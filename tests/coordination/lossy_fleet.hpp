#pragma once

#include "directory_fleet.hpp"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

/// \file
/// \brief A fleet in virtual time that loses datagrams and whose VMs stand still at times.

namespace plumdale::coordination
{

/// \brief Share of datagrams that are lost.
inline constexpr double loss = 0.2;
inline constexpr std::size_t upstreams = 40;
inline constexpr std::uint64_t first_revision = 100;

/// \brief Returns the entries of the upstreams that all VMs know at the beginning.
[[nodiscard]] inline std::vector<state::service_member> all_upstreams()
{
    std::vector<state::service_member> all;
    for (std::size_t i = 0; i < upstreams; ++i)
    {
        all.push_back(listed_upstream(i, first_revision));
    }
    return all;
}

/// \brief A fleet of equal directories that loses datagrams and whose VMs stand still at times.
class lossy_fleet : public directory_fleet
{
public:
    lossy_fleet(std::size_t vms, unsigned seed) : directory_fleet{vms}, random_{seed}
    {
        suspended_until_.resize(vms);
        next_update_at_.resize(vms);
        for (auto const& vm : this->vms())
        {
            vm->merge(all_upstreams(), {});
        }
        for (state::service_member const& row : all_upstreams())
        {
            store.insert_or_assign(row.name, row);
        }
    }

    /// \brief The readers learn rows from the store, and the first one tells the others.
    void change(std::vector<state::service_member> const& rows)
    {
        for (state::service_member const& row : rows)
        {
            store_revision = std::max(store_revision, row.revision);
            row.listed ? void(store.insert_or_assign(row.name, row)) : void(store.erase(row.name));
        }
        for (std::size_t i = 0; i < vms().size(); ++i)
        {
            bool const reads = i < fleet_view::reader_count;
            std::uniform_int_distribution<int> delay{5, 60};
            if (reads || draw_arrival())
            {
                arrivals_.push_back({now_ + std::chrono::milliseconds{delay(random_)}, i, rows});
            }
        }
    }

    /// \brief All VMs but the readers learn rows from each other.
    void tell_followers(std::vector<state::service_member> const& rows)
    {
        for (std::size_t i = fleet_view::reader_count; i < vms().size(); ++i)
        {
            vms()[i]->merge(rows, now_);
        }
    }
    /// \brief Has a VM that is suspended notice, once it runs again, that it did not run.
    void notice_pauses()
    {
        notices_pauses_ = true;
    }
    /// \brief From now on no message reaches `to`.
    void cut_from_all(std::size_t to)
    {
        for (std::size_t from = 0; from < vms().size(); ++from)
        {
            cut(from, to);
        }
    }
    /// \brief From now on no message of `from` reaches `to`.
    void cut(std::size_t from, std::size_t to)
    {
        cut_.emplace_back(from, to);
    }

    void suspend(std::size_t vm, state::duration time)
    {
        suspended_until_[vm] = now_ + time;
    }

    void run_until(state::time_point end)
    {
        for (; now_ < end; now_ += step)
        {
            advance();
        }
    }

    /// \brief Runs until all directories are equal; returns how long that took, at most `limit`.
    state::duration run_until_converged(state::duration limit)
    {
        state::time_point const begin = now_;
        while (!is_converged() && now_ < begin + limit)
        {
            run_until(now_ + step);
        }
        return now_ - begin;
    }

    /// \brief Returns whether all VMs know these upstreams where the rows say that they are.
    [[nodiscard]] bool has_places_of(std::vector<state::service_member> const& rows) const
    {
        return std::all_of(vms().begin(), vms().end(),
                           [&rows](auto const& vm)
                           {
                               return std::all_of(rows.begin(), rows.end(),
                                                  [&vm](state::service_member const& row)
                                                  {
                                                      auto const* const known =
                                                          vm->directory.find(state::key_of(row));
                                                      return known == nullptr ||
                                                             known->info.address == row.address;
                                                  });
                           });
    }

    [[nodiscard]] state::time_point now() const noexcept
    {
        return now_;
    }
    [[nodiscard]] std::minstd_rand& random() noexcept
    {
        return random_;
    }
    /// \brief Returns a VM that doesn't read the store.
    [[nodiscard]] std::size_t draw_follower()
    {
        return fleet_view::reader_count + random_() % (vms().size() - fleet_view::reader_count);
    }

private:
    struct arrival
    {
        state::time_point at;
        std::size_t vm = 0;
        std::vector<state::service_member> rows;
    };

    [[nodiscard]] bool draw_arrival()
    {
        return std::uniform_real_distribution<double>{0.0, 1.0}(random_) >= loss;
    }

    [[nodiscard]] bool is_suspended(std::size_t vm) const
    {
        return now_ < suspended_until_[vm];
    }

    void advance()
    {
        deliver_changes();
        for (std::size_t i = 0; i < vms().size(); ++i)
        {
            bool const resumes = suspended_until_[i] != state::time_point{} && !is_suspended(i);
            if (resumes && notices_pauses_)
            {
                vms()[i]->repair.begin_refresh(now_);
            }
            suspended_until_[i] = resumes ? state::time_point{} : suspended_until_[i];
            vms()[i]->directory.forget(now_);
            if (!is_suspended(i))
            {
                receive_answer(*vms()[i], now_);
                send_update(i);
            }
            if (!is_suspended(i) &&
                now_.time_since_epoch() % request_interval == state::duration::zero())
            {
                request(*vms()[i], now_);
            }
        }
    }

    // A receive buffer that filled up in the suspension drops what comes after.
    void deliver_changes()
    {
        std::erase_if(arrivals_,
                      [this](arrival const& each)
                      {
                          if (each.at <= now_ && !is_suspended(each.vm))
                          {
                              vms()[each.vm]->merge(each.rows, now_);
                          }
                          return each.at <= now_;
                      });
    }

    void send_update(std::size_t from)
    {
        if (now_ < next_update_at_[from])
        {
            return;
        }
        bool const reads = from < fleet_view::reader_count;
        fleet_view const& view = vms()[from]->view;
        next_update_at_[from] = now_ + (reads ? view.reader_interval() : view.follower_interval());
        fleet_update const update = vms()[from]->make_update(reads ? 50 : 60'000, now_);
        for (std::size_t to = 0; to < vms().size(); ++to)
        {
            bool const is_cut =
                std::find(cut_.begin(), cut_.end(), std::pair{from, to}) != cut_.end();
            if (to != from && !is_cut && !is_suspended(to) && draw_arrival())
            {
                vms()[to]->receive(update, now_);
            }
        }
    }

    static constexpr state::duration request_interval = std::chrono::milliseconds{100};

    std::minstd_rand random_;
    state::time_point now_{std::chrono::seconds{10}};
    std::vector<state::time_point> suspended_until_;
    std::vector<state::time_point> next_update_at_;
    std::vector<arrival> arrivals_;
    bool notices_pauses_ = false;
    /// \brief Pairs of a sender and a receiver.
    std::vector<std::pair<std::size_t, std::size_t>> cut_;
};

} // namespace plumdale::coordination
