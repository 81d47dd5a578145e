//! A gateway's side: takes what enough replicas tell alike, in order, and knows how old its knowledge is.

use crate::entry::Entry;
use crate::message::Message;
use crate::replica::Terms;
use crate::state::State;
use crate::view::FollowerView;
use std::net::SocketAddr;

pub struct Follower {}

impl Follower {
    /// `saved`: what [`save`](Self::save) gave, checked by its own hash; a broken one is as none. What it holds is in
    /// force at once and is the first of the [`news`](Self::news).
    pub fn new(
        _name: String,
        _replicas: Vec<SocketAddr>,
        _terms: Terms,
        _seed: u64,
        _now: f64,
        _saved: Option<Vec<u8>>,
    ) -> Self {
        todo!()
    }
    pub fn heard(&mut self, _now: f64, _from: SocketAddr, _message: Message) {
        todo!()
    }
    pub fn turn(&mut self, _now: f64) {
        todo!()
    }
    /// When [`turn`](Self::turn) is wanted next, on the caller's clock.
    pub fn next(&self) -> f64 {
        todo!()
    }
    pub fn out(&mut self) -> Option<(SocketAddr, Message)> {
        todo!()
    }
    /// A batch of entries to be applied whole, in order; later ones follow. Only entries that change something: none for
    /// an empty one, or for one whose author was too late.
    pub fn news(&mut self) -> Option<Vec<Entry>> {
        todo!()
    }
    /// The gateway could not apply an entry: told to the replicas with each poll. The latest one is kept.
    pub fn refused(&mut self, _number: u64, _why: String) {
        todo!()
    }
    pub fn save(&self) -> Vec<u8> {
        todo!()
    }
    pub fn state(&self) -> &State {
        todo!()
    }
    pub fn view(&self, _now: f64) -> FollowerView {
        todo!()
    }
}
