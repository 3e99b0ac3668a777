//! What an entry last learnt of each server, shared by the requests that wait for it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use smol::lock::Mutex;
use toucanrail::backends::BackendId;

/// The most recent value for each server. A value is locked while it is fetched, so that concurrent
/// requests wait for the same one.
#[derive(Debug)]
pub struct ServerCache<Value> {
    rows: RefCell<BTreeMap<BackendId, Rc<Mutex<Option<Value>>>>>,
}

impl<Value> Default for ServerCache<Value> {
    fn default() -> Self {
        Self { rows: RefCell::default() }
    }
}

impl<Value> ServerCache<Value> {
    /// Returns the value of a server, to be locked.
    pub fn row(&self, server: &BackendId) -> Rc<Mutex<Option<Value>>> {
        let mut rows = self.rows.borrow_mut();
        Rc::clone(rows.entry(Arc::clone(server)).or_default())
    }

    /// Returns the value of a server, to be locked, if it was ever fetched.
    pub fn find(&self, server: &BackendId) -> Option<Rc<Mutex<Option<Value>>>> {
        self.rows.borrow().get(server).map(Rc::clone)
    }

    /// Drops the values of unknown servers.
    pub fn retain<Known>(&self, is_known: Known)
    where
        Known: Fn(&BackendId) -> bool,
    {
        self.rows.borrow_mut().retain(|server, _| is_known(server));
    }
}
